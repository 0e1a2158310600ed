#include "transport/http_server.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <unordered_set>

#include "state/ranked_mutex.h"
#include "state/text.h"

namespace hickorystall::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

// One accepted connection.
struct connection {
  explicit connection(tcp::socket socket) : stream(std::move(socket)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  // True between two requests, when the connection may be closed without cutting one off.
  bool idle = true;
};

http_request TakeRequest(http::request<http::string_body>&& message) {
  http_request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) request.headers.emplace_back(field.name_string(), field.value());
  request.body = std::move(message.body());
  return request;
}

http::response<http::string_body> MakeMessage(http_response&& response, bool keep_alive) {
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  for (const auto& [name, value] : response.headers) message.insert(name, value);
  message.body() = std::move(response.body);
  message.keep_alive(keep_alive);
  message.prepare_payload();
  return message;
}

read_failure ClassifyReadError(const boost::system::error_code& error) {
  if (error == http::error::body_limit) return read_failure::kBodyTooLarge;
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return read_failure::kHeadersTooLarge;
  }
  if (error == beast::error::timeout) return read_failure::kTooSlow;
  return read_failure::kMalformed;
}

bool IsDisconnect(const boost::system::error_code& error) {
  return error == http::error::end_of_stream || error == asio::error::eof ||
         error == asio::error::connection_reset || error == asio::error::operation_aborted ||
         error == asio::error::bad_descriptor || error == http::error::partial_message ||
         error == asio::error::broken_pipe;
}

}  // namespace

struct http_server::shared_state : std::enable_shared_from_this<http_server::shared_state> {
  shared_state(worker_pool& pool_in, http_server_settings settings_in, handler handle_in,
               failure_answer failure_in)
      : pool(pool_in),
        settings(std::move(settings_in)),
        handle(std::move(handle_in)),
        answer_failure(std::move(failure_in)),
        acceptor(pool_in.context(0)) {}

  asio::awaitable<void> AcceptLoop();
  asio::awaitable<void> Serve(std::shared_ptr<connection> client);
  asio::awaitable<bool> ServeOne(connection& client);
  asio::awaitable<bool> Write(connection& client, http_response response, bool keep_alive);
  asio::awaitable<void> Refuse(connection& client, const boost::system::error_code& error);
  void CloseIdle();

  worker_pool& pool;
  const http_server_settings settings;
  const handler handle;
  const failure_answer answer_failure;
  tcp::acceptor acceptor;
  std::atomic<int> port{0};
  std::atomic<int> in_flight{0};
  std::atomic<bool> draining{false};
  std::atomic<bool> stopped{false};
  // Guards `connections`.
  state::ranked_mutex mutex{state::lock_rank::kConnectionPool};
  std::unordered_set<std::shared_ptr<connection>> connections;
};

http_server::http_server(worker_pool& pool, http_server_settings settings, handler handle,
                         failure_answer answer_failure)
    : state_(std::make_shared<shared_state>(pool, std::move(settings), std::move(handle),
                                            std::move(answer_failure))) {}

http_server::~http_server() { StopAccepting(); }

absl::Status http_server::Start() {
  const endpoint_parts parts = ParseEndpoint(state_->settings.listen);
  boost::system::error_code error;
  const bool any_port = state_->settings.listen.ends_with(":0");
  const std::string ip =
      any_port ? state_->settings.listen.substr(0, state_->settings.listen.size() - 2) : parts.ip;
  const auto address = asio::ip::make_address(ip, error);
  if (error || (parts.port == 0 && !any_port)) {
    return absl::InvalidArgumentError(state::StrCat("'", state_->settings.listen, "' is not ip:port"));
  }
  const tcp::endpoint endpoint(address, static_cast<std::uint16_t>(parts.port));
  tcp::acceptor& acceptor = state_->acceptor;
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return absl::UnavailableError(
        state::StrCat("cannot listen on ", state_->settings.listen, ": ", error.message()));
  state_->port = acceptor.local_endpoint().port();
  asio::co_spawn(
      state_->pool.context(0), [state = state_] { return state->AcceptLoop(); }, asio::detached);
  return absl::OkStatus();
}

int http_server::port() const { return state_->port; }

void http_server::BeginDrain() { state_->draining = true; }

void http_server::StopAccepting() {
  if (state_->stopped.exchange(true)) return;
  state_->draining = true;
  asio::post(state_->pool.context(0), [state = state_] {
    boost::system::error_code ignored;
    state->acceptor.close(ignored);
  });
  state_->CloseIdle();
}

int http_server::requests_in_flight() const { return state_->in_flight; }

int http_server::open_connections() const {
  const std::lock_guard lock(state_->mutex);
  return static_cast<int>(state_->connections.size());
}

void http_server::shared_state::CloseIdle() {
  const std::lock_guard lock(mutex);
  for (const std::shared_ptr<connection>& client : connections) {
    asio::post(client->stream.get_executor(), [client] {
      if (client->idle) client->stream.cancel();
    });
  }
}

asio::awaitable<void> http_server::shared_state::AcceptLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    asio::io_context& context = pool.next();
    auto [error, socket] = co_await acceptor.async_accept(context, kAsTuple);
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) co_return;
    if (error) {
      // Out of descriptors: waits so that the loop does not spin.
      asio::steady_timer pause(co_await asio::this_coro::executor, std::chrono::milliseconds(20));
      co_await pause.async_wait(kAsTuple);
      continue;
    }
    const auto client = std::make_shared<connection>(std::move(socket));
    {
      const std::lock_guard lock(mutex);
      if (connections.size() >= static_cast<std::size_t>(settings.max_connections)) continue;
      connections.insert(client);
    }
    asio::co_spawn(
        context, [self, client] { return self->Serve(client); }, asio::detached);
  }
}

asio::awaitable<void> http_server::shared_state::Serve(std::shared_ptr<connection> client) {
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  client->stream.socket().set_option(tcp::no_delay(true), ignored);
  bool keep_open = true;
  while (keep_open) keep_open = co_await ServeOne(*client);
  client->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  const std::lock_guard lock(mutex);
  connections.erase(client);
}

// Reads and answers one request; returns false when the connection must be closed.
asio::awaitable<bool> http_server::shared_state::ServeOne(connection& client) {
  if (client.buffer.size() == 0) {
    client.idle = true;
    if (stopped) co_return false;
    client.stream.expires_after(settings.idle_timeout);
    auto [error, bytes] = co_await client.stream.async_read_some(client.buffer.prepare(4096), kAsTuple);
    if (error) co_return false;
    client.buffer.commit(bytes);
  }
  client.idle = false;
  ++in_flight;
  const std::shared_ptr<void> leave(nullptr, [this](void*) { --in_flight; });
  http::request_parser<http::string_body> parser;
  parser.body_limit(settings.max_body_bytes);
  parser.header_limit(settings.max_header_bytes);
  client.stream.expires_after(settings.read_timeout);
  auto [error, bytes] = co_await http::async_read(client.stream, client.buffer, parser, kAsTuple);
  (void)bytes;
  if (error) {
    if (!IsDisconnect(error)) co_await Refuse(client, error);
    co_return false;
  }
  client.stream.expires_never();
  const bool wants_keep_alive = parser.get().keep_alive();
  http_response response = co_await handle(TakeRequest(parser.release()));
  if (response.status == 0) co_return false;
  co_return co_await Write(client, std::move(response), wants_keep_alive && !draining);
}

asio::awaitable<bool> http_server::shared_state::Write(connection& client, http_response response,
                                                       bool keep_alive) {
  http::response<http::string_body> message = MakeMessage(std::move(response), keep_alive);
  client.stream.expires_after(settings.write_timeout);
  auto [error, bytes] = co_await http::async_write(client.stream, message, kAsTuple);
  (void)bytes;
  co_return !error && keep_alive;
}

asio::awaitable<void> http_server::shared_state::Refuse(connection& client,
                                                        const boost::system::error_code& error) {
  co_await Write(client, answer_failure(ClassifyReadError(error)), false);
  // Reads on for a moment: closing with unread data would reset the connection and lose the answer.
  boost::system::error_code ignored;
  client.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  client.stream.expires_after(std::chrono::milliseconds(500));
  std::array<char, 4096> discarded;
  for (;;) {
    auto [read_error, bytes] = co_await client.stream.async_read_some(asio::buffer(discarded), kAsTuple);
    if (read_error || bytes == 0) co_return;
  }
}

}  // namespace hickorystall::transport
