#include "transport/http_client.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <unordered_map>

#include "state/text.h"

namespace hickorystall::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
using clock = std::chrono::steady_clock;

// A connection is closed when data or keep-alive probes stay unacknowledged for this time.
constexpr std::chrono::milliseconds kTcpUserTimeout{5000};

// A connection that is either idle or used by exactly one exchange.
struct pooled_connection {
  explicit pooled_connection(const asio::any_io_executor& executor) : stream(executor) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  clock::time_point idle_since;
};

using connection_ptr = std::unique_ptr<pooled_connection>;

// True when the peer has neither closed the connection nor sent data since the last response.
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

struct http_client::shared_state {
  // Idle connections of one event loop by endpoint, accessed only by that loop's thread.
  using idle_map = std::unordered_map<std::string, std::deque<connection_ptr>>;

  shared_state(event_loop_pool& pool, http_client_settings settings_in)
      : settings(settings_in), idle(pool.size()) {}

  connection_ptr AcquireIdle(const std::string& endpoint);
  void ReleaseIdle(const std::string& endpoint, connection_ptr connection);
  // Sets `is_refused` when no process listens at the endpoint.
  asio::awaitable<absl::Status> Connect(pooled_connection& connection, const std::string& endpoint,
                                        clock::time_point deadline, bool& is_refused);

  const http_client_settings settings;
  std::vector<idle_map> idle;
};

connection_ptr http_client::shared_state::AcquireIdle(const std::string& endpoint) {
  std::deque<connection_ptr>& idle_connections = idle[event_loop_pool::CurrentIndex()][endpoint];
  while (!idle_connections.empty()) {
    // The most recently used connection is the least likely to have been dropped by the peer or the network.
    connection_ptr connection = std::move(idle_connections.back());
    idle_connections.pop_back();
    if (clock::now() - connection->idle_since < settings.idle_timeout && IsReusable(*connection))
      return connection;
  }
  return nullptr;
}

void http_client::shared_state::ReleaseIdle(const std::string& endpoint, connection_ptr connection) {
  std::deque<connection_ptr>& idle_connections = idle[event_loop_pool::CurrentIndex()][endpoint];
  const clock::time_point now = clock::now();
  while (!idle_connections.empty() && now - idle_connections.front()->idle_since >= settings.idle_timeout)
    idle_connections.pop_front();
  if (idle_connections.size() >= settings.max_idle_per_endpoint) return;
  connection->idle_since = now;
  idle_connections.push_back(std::move(connection));
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

asio::awaitable<http_exchange> http_client::Send(std::string endpoint, http_request request,
                                                 std::chrono::milliseconds timeout,
                                                 response_check accepts_response) {
  const std::shared_ptr<shared_state> state = state_;
  const clock::time_point deadline = clock::now() + timeout;
  http_exchange result;
  connection_ptr connection = state->AcquireIdle(endpoint);
  if (connection == nullptr) {
    connection = std::make_unique<pooled_connection>(co_await asio::this_coro::executor);
    bool is_refused = false;
    result.status = co_await state->Connect(*connection, endpoint, deadline, is_refused);
    if (is_refused) result.ended_by_peer = peer_end::kRefused;
    if (!result.status.ok()) co_return result;
  }
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
  // Without a length or chunked encoding a complete response cannot be told from a truncated one.
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
    state->ReleaseIdle(endpoint, std::move(connection));
  }
  co_return result;
}

}  // namespace hickorystall::transport
