#include "transport/http_connection.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <exception>
#include <utility>

namespace hickorystall::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBytes = 4096;
// Status of the response to a request whose handler failed with an exception.
constexpr int kInternalError = 500;

http_request ExtractRequest(http::request<http::string_body>&& message) {
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

read_failure ClassifyReadError(const boost::system::error_code& error, bool timed_out) {
  if (timed_out) return read_failure::kTooSlow;
  if (error == http::error::body_limit) return read_failure::kBodyTooLarge;
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return read_failure::kHeadersTooLarge;
  }
  return read_failure::kMalformed;
}

bool IsDisconnect(const boost::system::error_code& error) {
  return error == http::error::end_of_stream || error == asio::error::eof ||
         error == asio::error::connection_reset || error == asio::error::bad_descriptor ||
         error == http::error::partial_message || error == asio::error::broken_pipe;
}

}  // namespace

http_connection::http_connection(tcp::socket socket, std::shared_ptr<http_server_context> context)
    : socket_(std::move(socket)), context_(std::move(context)), timer_(socket_.get_executor()) {}

asio::awaitable<void> http_connection::Serve() {
  const auto self = shared_from_this();
  boost::system::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  bool keep_open = true;
  while (keep_open) keep_open = co_await ServeRequest();
  if (lingers_) co_await Linger();
  ClearTimeout();
  timer_.cancel();
  socket_.close(ignored);
}

// Reads one request and writes its response. Returns false when the connection must be closed.
asio::awaitable<bool> http_connection::ServeRequest() {
  if (buffer_.size() == 0 && !co_await WaitForRequest()) co_return false;
  ++context_->in_flight;
  const std::shared_ptr<void> in_flight_guard(nullptr, [this](void*) { --context_->in_flight; });
  http::request_parser<http::string_body> parser;
  parser.body_limit(context_->settings.max_body_bytes);
  parser.header_limit(context_->settings.max_header_bytes);
  SetTimeout(context_->settings.read_timeout);
  auto [error, bytes] = co_await http::async_read(socket_, buffer_, parser, kAsTuple);
  (void)bytes;
  if (error) {
    if (!IsDisconnect(error)) {
      co_await Write(context_->make_failure_response(ClassifyReadError(error, timed_out_)), false);
      lingers_ = true;
    }
    co_return false;
  }
  ClearTimeout();
  const bool wants_keep_alive = parser.get().keep_alive();
  http_response response;
  try {
    response = co_await context_->handle(ExtractRequest(parser.release()));
  } catch (const std::exception& failure) {
    // The request may have had an effect before the failure, so the response must not deny that.
    std::fprintf(stderr, "http server: the handler failed: %s\n", failure.what());
    response = JsonResponse(kInternalError, R"({"error":"internal"})");
  }
  if (response.status == 0) co_return false;
  const bool keep_alive = wants_keep_alive && !ClosesAfterResponse();
  lingers_ = wants_keep_alive && !keep_alive;
  co_return co_await Write(std::move(response), keep_alive);
}

// Requests that are already buffered when the drain begins are still handled.
bool http_connection::ClosesAfterResponse() const { return context_->draining && buffer_.size() == 0; }

// Waits for the first byte of a request. Returns false when the connection must be closed.
asio::awaitable<bool> http_connection::WaitForRequest() {
  idle_ = true;
  SetTimeout(context_->stopped ? context_->settings.last_request_timeout : context_->settings.idle_timeout);
  auto [error, bytes] = co_await socket_.async_read_some(buffer_.prepare(kReadBytes), kAsTuple);
  idle_ = false;
  if (!error) {
    buffer_.commit(bytes);
    co_return true;
  }
  if (!timed_out_) co_return false;
  if (ReadAvailable()) co_return true;
  // The peer may be sending a request at this moment. RFC 9110, section 15.5.9, allows a server to announce
  // with 408 that it closes an unused connection, which tells a peer that its request was not run.
  co_await Write(context_->make_failure_response(read_failure::kTooSlow), false);
  lingers_ = true;
  co_return false;
}

// Reads the data that arrived since the last read was cancelled. Returns false when there is none.
bool http_connection::ReadAvailable() {
  boost::system::error_code error;
  if (socket_.available(error) == 0 || error) return false;
  const std::size_t bytes = socket_.read_some(buffer_.prepare(kReadBytes), error);
  if (error) return false;
  buffer_.commit(bytes);
  return bytes > 0;
}

asio::awaitable<bool> http_connection::Write(http_response response, bool keep_alive) {
  http::response<http::string_body> message = MakeMessage(std::move(response), keep_alive);
  SetTimeout(context_->settings.write_timeout);
  auto [error, bytes] = co_await http::async_write(socket_, message, kAsTuple);
  (void)bytes;
  ClearTimeout();
  lingers_ = lingers_ && !error;
  co_return !error && keep_alive;
}

// Discards what the peer still sends, until it closes its side or `linger_timeout` has passed.
asio::awaitable<void> http_connection::Linger() {
  boost::system::error_code shutdown_error;
  socket_.shutdown(tcp::socket::shutdown_send, shutdown_error);
  SetTimeout(context_->settings.linger_timeout);
  std::array<char, kReadBytes> discarded;
  while (!timed_out_) {
    auto [error, bytes] = co_await socket_.async_read_some(asio::buffer(discarded), kAsTuple);
    if (error || bytes == 0) co_return;
  }
}

void http_connection::ShortenIdleTimeout() {
  if (idle_) SetTimeout(context_->settings.last_request_timeout);
}

void http_connection::SetTimeout(clock::duration duration) {
  timed_out_ = false;
  deadline_ = clock::now() + duration;
  if (deadline_ < timer_expiry_) ArmTimer();
}

void http_connection::ArmTimer() {
  timer_expiry_ = deadline_;
  timer_.expires_at(deadline_);
  timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!error && self != nullptr) self->OnTimer();
  });
}

void http_connection::OnTimer() {
  timer_expiry_ = clock::time_point::max();
  if (deadline_ == clock::time_point::max()) return;
  if (clock::now() < deadline_) return ArmTimer();
  deadline_ = clock::time_point::max();
  timed_out_ = true;
  boost::system::error_code ignored;
  socket_.cancel(ignored);
}

}  // namespace hickorystall::transport
