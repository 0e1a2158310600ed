#include "transport/http_server.h"

#include <fcntl.h>
#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <unordered_set>

#include "state/ranked_mutex.h"
#include "state/text.h"
#include "transport/async_event.h"
#include "transport/http_connection.h"

namespace hickorystall::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
// Time for handshakes in progress to complete after new ones are dropped: several round trips between failure
// domains.
constexpr milliseconds kHandshakeGracePeriod{20};
// Delay after a failed accept, such as one without a free file descriptor, so that the loop does not spin.
constexpr milliseconds kAcceptRetryDelay{20};

// Attaches a filter to the listening socket that drops SYN segments and nothing else. Closing a listening
// socket resets the connections that the kernel has completed but the server has not accepted, so these must
// be accepted first, while no new ones arrive.
void DropNewConnections(int listener) {
  constexpr int kTcpFlagsOffset = 13;
  constexpr int kSynAndAck = 0x12;
  constexpr int kSyn = 0x02;
  std::array<sock_filter, 5> code{{
      {BPF_LD | BPF_B | BPF_ABS, 0, 0, kTcpFlagsOffset},
      {BPF_ALU | BPF_AND | BPF_K, 0, 0, kSynAndAck},
      {BPF_JMP | BPF_JEQ | BPF_K, 0, 1, kSyn},
      {BPF_RET | BPF_K, 0, 0, 0},
      {BPF_RET | BPF_K, 0, 0, 0xffffffff},
  }};
  const sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
  // A failure is ignored: without the filter, connections made shortly before the close may be reset.
  ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

// A descriptor that is given up to accept a connection when the process has no other one. Without it the
// connection stays in the kernel's queue, and its client waits for a response that never comes.
class spare_descriptor {
 public:
  spare_descriptor() { Open(); }
  ~spare_descriptor() { Close(); }
  spare_descriptor(const spare_descriptor&) = delete;
  spare_descriptor& operator=(const spare_descriptor&) = delete;

  void Open() {
    if (fd_ < 0) fd_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  }
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_ = -1;
};

bool HasPendingConnection(int listener) {
  pollfd entry{listener, POLLIN, 0};
  return ::poll(&entry, 1, 0) > 0 && (entry.revents & POLLIN) != 0;
}

}  // namespace

struct http_server::shared_state : std::enable_shared_from_this<http_server::shared_state> {
  shared_state(event_loop_pool& pool_in, http_server_settings settings_in, handler handle_in,
               failure_responder failure_in)
      : pool(pool_in), context(std::make_shared<http_server_context>()), acceptor(pool_in.context(0)) {
    context->settings = std::move(settings_in);
    context->handle = std::move(handle_in);
    context->make_failure_response = std::move(failure_in);
  }

  asio::awaitable<void> AcceptLoop();
  asio::awaitable<void> Serve(std::shared_ptr<http_connection> connection);
  asio::awaitable<void> CloseListener();
  bool HasRoom() const;
  // Takes a descriptor for an accepted connection, in place of another one if necessary.
  asio::awaitable<bool> TakeDescriptor();
  // Closes the connections that wait to be accepted, while the process has no descriptor for them.
  void RefusePending();
  void ShortenTimeouts();

  event_loop_pool& pool;
  const std::shared_ptr<http_server_context> context;
  tcp::acceptor acceptor;
  spare_descriptor spare;
  std::atomic<int> port{0};
  std::atomic<bool> listening{false};
  std::atomic<bool> stop_requested{false};
  // Guards `connections`.
  mutable state::ranked_mutex mutex{state::lock_rank::kConnectionPool};
  std::unordered_set<std::shared_ptr<http_connection>> connections;
};

http_server::http_server(event_loop_pool& pool, http_server_settings settings, handler handle,
                         failure_responder make_failure_response)
    : state_(std::make_shared<shared_state>(pool, std::move(settings), std::move(handle),
                                            std::move(make_failure_response))) {}

http_server::~http_server() { StopAccepting(); }

absl::Status http_server::Start() {
  const endpoint_parts parts = ParseEndpoint(state_->context->settings.listen);
  boost::system::error_code error;
  const bool any_port = state_->context->settings.listen.ends_with(":0");
  const std::string ip =
      any_port ? state_->context->settings.listen.substr(0, state_->context->settings.listen.size() - 2)
               : parts.ip;
  const auto address = asio::ip::make_address(ip, error);
  if (error || (parts.port == 0 && !any_port)) {
    return absl::InvalidArgumentError(
        state::StrCat("'", state_->context->settings.listen, "' is not ip:port"));
  }
  const tcp::endpoint endpoint(address, static_cast<std::uint16_t>(parts.port));
  tcp::acceptor& acceptor = state_->acceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return absl::UnavailableError(
        state::StrCat("cannot listen on ", state_->context->settings.listen, ": ", error.message()));
  state_->listening = true;
  state_->port = acceptor.local_endpoint().port();
  asio::co_spawn(
      state_->pool.context(0), [state = state_] { return state->AcceptLoop(); }, asio::detached);
  return absl::OkStatus();
}

int http_server::port() const { return state_->port; }

void http_server::BeginDrain() { state_->context->draining = true; }

void http_server::StopAccepting() {
  if (state_->stop_requested.exchange(true)) return;
  BeginDrain();
  if (!state_->listening) return;
  asio::co_spawn(
      state_->pool.context(0), [state = state_] { return state->CloseListener(); }, asio::detached);
}

bool http_server::is_listening() const { return state_->listening; }

int http_server::requests_in_flight() const { return state_->context->in_flight; }

int http_server::open_connections() const {
  const std::lock_guard lock(state_->mutex);
  return static_cast<int>(state_->connections.size());
}

asio::awaitable<void> http_server::shared_state::CloseListener() {
  const auto self = shared_from_this();
  const int listener = acceptor.native_handle();
  DropNewConnections(listener);
  co_await Sleep(kHandshakeGracePeriod);
  while (HasPendingConnection(listener)) co_await Sleep(milliseconds(1));
  context->stopped = true;
  boost::system::error_code ignored;
  acceptor.close(ignored);
  ShortenTimeouts();
  listening = false;
}

void http_server::shared_state::ShortenTimeouts() {
  const std::lock_guard lock(mutex);
  for (const std::shared_ptr<http_connection>& connection : connections) {
    asio::post(connection->executor(), [connection] { connection->ShortenTimeouts(); });
  }
}

asio::awaitable<void> http_server::shared_state::AcceptLoop() {
  const auto self = shared_from_this();
  while (!context->stopped) {
    asio::io_context& loop = pool.next();
    auto [error, socket] = co_await acceptor.async_accept(loop, kAsTuple);
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) co_return;
    if (error == asio::error::no_descriptors) RefusePending();
    if (error) {
      co_await Sleep(kAcceptRetryDelay);
      continue;
    }
    client_limits* const limits = context->settings.limits;
    if (!HasRoom()) {
      if (limits != nullptr) limits->Count(limit_reason::kRefusedConnection);
      continue;
    }
    if (limits != nullptr && !limits->descriptors.TryAcquire(context->settings.connection_use) &&
        !co_await TakeDescriptor()) {
      limits->Count(limit_reason::kRefusedConnection);
      continue;
    }
    const auto connection = std::make_shared<http_connection>(std::move(socket), context);
    {
      const std::lock_guard lock(mutex);
      connections.insert(connection);
    }
    asio::co_spawn(
        loop, [self, connection] { return self->Serve(connection); }, asio::detached);
  }
}

void http_server::shared_state::RefusePending() {
  const int listener = acceptor.native_handle();
  while (HasPendingConnection(listener)) {
    spare.Close();
    const int refused = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (refused >= 0) ::close(refused);
    spare.Open();
    if (refused < 0) return;
    if (context->settings.limits != nullptr)
      context->settings.limits->Count(limit_reason::kRefusedConnection);
  }
}

asio::awaitable<bool> http_server::shared_state::TakeDescriptor() {
  client_limits& limits = *context->settings.limits;
  if (!limits.ShedForConnection()) co_return false;
  // The connection that is closed frees its descriptor in a handler that runs before this one.
  co_await asio::post(pool.context(0), asio::use_awaitable);
  co_return limits.descriptors.TryAcquire(context->settings.connection_use);
}

// Returns false when the limit of open connections is reached.
bool http_server::shared_state::HasRoom() const {
  const std::lock_guard lock(mutex);
  return connections.size() < static_cast<std::size_t>(context->settings.max_connections);
}

asio::awaitable<void> http_server::shared_state::Serve(std::shared_ptr<http_connection> connection) {
  const auto self = shared_from_this();
  co_await connection->Serve();
  const std::lock_guard lock(mutex);
  connections.erase(connection);
}

}  // namespace hickorystall::transport
