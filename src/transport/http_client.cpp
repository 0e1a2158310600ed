#include "transport/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <iterator>
#include <list>
#include <map>
#include <vector>

#include "state/text.h"

namespace hickorystall::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
using clock = std::chrono::steady_clock;

// A connection is closed when data or keep-alive probes stay unacknowledged for
// this time.
constexpr std::chrono::milliseconds kTcpUserTimeout{5000};

// Buffer of a connection for bytes that the parser cannot take in one piece.
constexpr std::size_t kMaxBufferBytes = std::size_t{128} * 1024;

struct pooled_connection;
// A connection moves between lists of this type without being copied or
// allocated anew.
using connection_list = std::list<pooled_connection>;

// The connections to one endpoint.
struct connection_target {
  // Those that are idle, least recently used first.
  std::vector<connection_list::iterator> idle;
  std::size_t in_use = 0;
  // Raised when the process at the endpoint has left.
  std::uint64_t generation = 0;
};
// Its iterators stay valid.
using target_map = std::map<std::string, connection_target>;

// A connection that is either idle or used by exactly one exchange.
struct pooled_connection {
  pooled_connection(const asio::any_io_executor& executor, target_map::iterator target_in)
      : stream(executor), target(target_in), generation(target_in->second.generation) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxBufferBytes};
  const target_map::iterator target;
  const std::uint64_t generation;
  clock::time_point idle_since;
};

// True when the peer has neither closed the connection nor sent data since the
// last response.
bool IsReusable(pooled_connection& connection) {
  char byte = 0;
  const ssize_t got = ::recv(connection.stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && connection.buffer.size() == 0;
}

void SetSocketOptions(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int user_timeout = static_cast<int>(kTcpUserTimeout.count());
  const int probe_after_seconds = 3;
  const int probe_interval_seconds = 1;
  const int fd = socket.native_handle();
  ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout, sizeof(user_timeout));
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_after_seconds, sizeof(probe_after_seconds));
  ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_seconds, sizeof(probe_interval_seconds));
}

http::request<http::string_body> MakeMessage(const std::string& endpoint, http_request&& request) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, endpoint);
  for (const auto& [name, value] : request.headers) message.insert(name, value);
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

http_response ExtractResponse(http::response<http::string_body>&& message) {
  http_response response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) response.headers.emplace_back(field.name_string(), field.value());
  response.body = std::move(message.body());
  return response;
}

absl::Status ToStatus(const boost::system::error_code& error, std::string_view action,
                      const std::string& endpoint) {
  const std::string text = state::StrCat(std::string(action), " ", endpoint, ": ", error.message());
  if (error == beast::error::timeout) return absl::DeadlineExceededError(text);
  if (error.category() == http::make_error_code(http::error::end_of_stream).category() &&
      error != http::error::end_of_stream) {
    return absl::DataLossError(text);
  }
  return absl::UnavailableError(text);
}

}  // namespace

// Connections of one event loop, accessed only by that loop's thread.
struct http_client::loop_state {
  explicit loop_state(asio::io_context& context) : sweep_timer(context) {}

  void Close(connection_list& list, connection_list::iterator connection);
  void CloseIdle(connection_list::iterator connection);
  void EraseIfUnused(target_map::iterator target);

  descriptor_budget* descriptors = nullptr;
  descriptor_use connection_use = descriptor_use::kOutgoing;
  target_map targets;
  // Idle connections to all endpoints, least recently used first.
  connection_list idle;
  std::size_t open = 0;
  // Closes idle connections after their timeout.
  asio::steady_timer sweep_timer;
  bool is_sweep_pending = false;
};

void http_client::loop_state::Close(connection_list& list, connection_list::iterator connection) {
  list.erase(connection);
  --open;
  if (descriptors != nullptr) descriptors->Release(connection_use);
}

void http_client::loop_state::CloseIdle(connection_list::iterator connection) {
  const target_map::iterator target = connection->target;
  std::erase(target->second.idle, connection);
  Close(idle, connection);
  EraseIfUnused(target);
}

void http_client::loop_state::EraseIfUnused(target_map::iterator target) {
  if (target->second.idle.empty() && target->second.in_use == 0) targets.erase(target);
}

struct http_client::shared_state : std::enable_shared_from_this<http_client::shared_state> {
  shared_state(event_loop_pool& pool, http_client_settings settings_in) : settings(settings_in) {
    for (std::size_t i = 0; i < pool.size(); ++i) {
      loops.push_back(std::make_unique<loop_state>(pool.context(i)));
      loops.back()->descriptors = settings.descriptors;
      loops.back()->connection_use = settings.connection_use;
    }
  }

  loop_state& loop() { return *loops[event_loop_pool::CurrentIndex()]; }
  // Sets `is_refused` when no process listens at the endpoint.
  asio::awaitable<absl::Status> Connect(pooled_connection& connection, const std::string& endpoint,
                                        clock::time_point deadline, bool& is_refused);
  void ArmSweep(loop_state& loop);
  void Sweep(loop_state& loop);

  const http_client_settings settings;
  std::vector<std::unique_ptr<loop_state>> loops;
};

// The connection of one exchange. Closes it unless it is returned.
class http_client::connection_lease {
 public:
  connection_lease(shared_state& state, const std::string& endpoint)
      : state_(state), loop_(state.loop()), target_(loop_.targets.try_emplace(endpoint).first) {
    ++target_->second.in_use;
  }
  ~connection_lease() {
    if (!connection_.empty()) loop_.Close(connection_, connection_.begin());
    --target_->second.in_use;
    loop_.EraseIfUnused(target_);
  }
  connection_lease(const connection_lease&) = delete;
  connection_lease& operator=(const connection_lease&) = delete;

  /// Takes an idle connection. Returns false when there is none.
  bool TakeIdle();
  /// Makes a connection that is not open yet. Returns false when there is no
  /// descriptor for it.
  bool Make(const asio::any_io_executor& executor);
  /// Makes the connection idle.
  void Return();
  pooled_connection& connection() { return connection_.front(); }

 private:
  shared_state& state_;
  loop_state& loop_;
  const target_map::iterator target_;
  // Empty or the connection.
  connection_list connection_;
};

bool http_client::connection_lease::TakeIdle() {
  std::vector<connection_list::iterator>& idle = target_->second.idle;
  const clock::time_point now = clock::now();
  while (!idle.empty()) {
    // The most recently used connection is the least likely to have been
    // dropped by the peer or the network.
    const connection_list::iterator last = idle.back();
    idle.pop_back();
    if (now - last->idle_since < state_.settings.idle_timeout && IsReusable(*last)) {
      connection_.splice(connection_.begin(), loop_.idle, last);
      return true;
    }
    loop_.Close(loop_.idle, last);
  }
  return false;
}

bool http_client::connection_lease::Make(const asio::any_io_executor& executor) {
  if (loop_.descriptors != nullptr && !loop_.descriptors->TryAcquire(loop_.connection_use)) return false;
  connection_.emplace_back(executor, target_);
  ++loop_.open;
  return true;
}

void http_client::connection_lease::Return() {
  std::vector<connection_list::iterator>& idle = target_->second.idle;
  const bool has_left = connection().generation != target_->second.generation;
  if (has_left || idle.size() >= state_.settings.max_idle_per_endpoint) return;
  connection().idle_since = clock::now();
  loop_.idle.splice(loop_.idle.end(), connection_);
  idle.push_back(std::prev(loop_.idle.end()));
  state_.ArmSweep(loop_);
}

// The timer is armed for the oldest connection only, and once for all that are
// used again before it expires.
void http_client::shared_state::ArmSweep(loop_state& loop) {
  if (loop.is_sweep_pending || loop.idle.empty()) return;
  loop.is_sweep_pending = true;
  loop.sweep_timer.expires_at(loop.idle.front().idle_since + settings.idle_timeout);
  loop.sweep_timer.async_wait([weak = weak_from_this(), &loop](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!error && self != nullptr) self->Sweep(loop);
  });
}

void http_client::shared_state::Sweep(loop_state& loop) {
  loop.is_sweep_pending = false;
  const clock::time_point now = clock::now();
  while (!loop.idle.empty() && now - loop.idle.front().idle_since >= settings.idle_timeout)
    loop.CloseIdle(loop.idle.begin());
  ArmSweep(loop);
}

asio::awaitable<absl::Status> http_client::shared_state::Connect(pooled_connection& connection,
                                                                 const std::string& endpoint,
                                                                 clock::time_point deadline,
                                                                 bool& is_refused) {
  const endpoint_parts parts = ParseEndpoint(endpoint);
  boost::system::error_code parse_error;
  const auto address = asio::ip::make_address(parts.ip, parse_error);
  if (parse_error || parts.port == 0)
    co_return absl::InvalidArgumentError("'" + endpoint + "' is not ip:port");
  connection.stream.expires_at(std::min(deadline, clock::now() + settings.connect_timeout));
  const tcp::endpoint target(address, static_cast<std::uint16_t>(parts.port));
  auto [error] = co_await connection.stream.async_connect(target, kAsTuple);
  is_refused = error == asio::error::connection_refused;
  if (error) co_return ToStatus(error, "cannot connect to", endpoint);
  SetSocketOptions(connection.stream.socket());
  co_return absl::OkStatus();
}

http_client::http_client(event_loop_pool& pool, http_client_settings settings)
    : state_(std::make_shared<shared_state>(pool, settings)) {}

http_client::~http_client() = default;

void http_client::CloseConnections(const std::string& endpoint) {
  loop_state& loop = state_->loop();
  const target_map::iterator target = loop.targets.find(endpoint);
  if (target == loop.targets.end()) return;
  ++target->second.generation;
  for (const connection_list::iterator connection : target->second.idle) loop.Close(loop.idle, connection);
  target->second.idle.clear();
  loop.EraseIfUnused(target);
}

bool http_client::CloseLongestIdle() {
  loop_state& loop = state_->loop();
  if (loop.idle.empty()) return false;
  loop.CloseIdle(loop.idle.begin());
  return true;
}

std::size_t http_client::open_connections() const { return state_->loop().open; }

std::size_t http_client::idle_connections() const { return state_->loop().idle.size(); }

asio::awaitable<http_exchange> http_client::Send(std::string endpoint, http_request request,
                                                 std::chrono::milliseconds timeout,
                                                 response_check accepts_response) {
  const std::shared_ptr<shared_state> state = state_;
  const clock::time_point deadline = clock::now() + timeout;
  http_exchange result;
  connection_lease lease(*state, endpoint);
  if (!lease.TakeIdle()) {
    if (!lease.Make(co_await asio::this_coro::executor)) {
      result.status = absl::ResourceExhaustedError("no descriptor for a connection to " + endpoint);
      co_return result;
    }
    bool is_refused = false;
    result.status = co_await state->Connect(lease.connection(), endpoint, deadline, is_refused);
    if (is_refused) result.ended_by_peer = peer_end::kRefused;
    if (!result.status.ok()) co_return result;
  }
  pooled_connection* const connection = &lease.connection();
  http::request<http::string_body> message = MakeMessage(endpoint, std::move(request));
  connection->stream.expires_at(deadline);
  result.bytes_sent = true;
  auto [write_error, written] = co_await http::async_write(connection->stream, message, kAsTuple);
  (void)written;
  if (write_error) {
    result.status = ToStatus(write_error, "cannot send to", endpoint);
    co_return result;
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(state->settings.max_body_bytes);
  if (message.method() == http::verb::head) parser.skip(true);
  auto [read_error, read] =
      co_await http::async_read(connection->stream, connection->buffer, parser, kAsTuple);
  (void)read;
  if (read_error) {
    result.status = ToStatus(read_error, "cannot read the response from", endpoint);
    if (read_error == http::error::end_of_stream) result.ended_by_peer = peer_end::kClosed;
    co_return result;
  }
  // Without a length or chunked encoding a complete response cannot be told
  // from a truncated one.
  if (parser.need_eof()) {
    result.status =
        absl::DataLossError("response from " + endpoint + " has neither a length nor chunked encoding");
    co_return result;
  }
  const bool keep_alive = parser.get().keep_alive();
  result.response = ExtractResponse(parser.release());
  if (accepts_response && !accepts_response(result.response)) {
    result.response = {};
    result.status = absl::DataLossError("response from " + endpoint + " belongs to another request");
    co_return result;
  }
  if (keep_alive) {
    connection->stream.expires_never();
    lease.Return();
  }
  co_return result;
}

}  // namespace hickorystall::transport
