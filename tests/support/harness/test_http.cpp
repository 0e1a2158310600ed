#include "tests/support/harness/test_http.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace hickorystall::harness {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

struct test_connection::open_stream {
  asio::io_context context{1};
  beast::tcp_stream stream{context};
  beast::flat_buffer buffer;

  // Runs one asynchronous operation until it completes. Deadlines of a tcp_stream apply to asynchronous
  // operations only.
  template <typename F>
  boost::system::error_code Run(F start) {
    boost::system::error_code result;
    start([&result](const boost::system::error_code& error, auto&&...) { result = error; });
    context.restart();
    context.run();
    return result;
  }
};

test_connection::test_connection(int port) : port_(port) {}
test_connection::~test_connection() = default;

bool test_connection::is_open() const { return stream_ != nullptr; }

bool test_connection::PeerHasClosed() {
  if (stream_ == nullptr) return true;
  char byte = 0;
  return ::recv(stream_->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

test_response test_connection::Send(transport::http_request request, std::chrono::milliseconds timeout) {
  test_response result;
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  if (PeerHasClosed()) {
    stream_ = std::make_unique<open_stream>();
    stream_->stream.expires_at(deadline);
    const tcp::endpoint target(asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port_));
    const auto error = stream_->Run(
        [&](auto done) { stream_->stream.async_connect(target, [done](const auto& code) { done(code); }); });
    if (error) {
      stream_ = nullptr;
      result.failure = "connect: " + error.message();
      return result;
    }
    stream_->stream.socket().set_option(tcp::no_delay(true));
    // A child process that inherits the socket would keep the connection open.
    ::fcntl(stream_->stream.socket().native_handle(), F_SETFD, FD_CLOEXEC);
  }
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, "127.0.0.1");
  for (const auto& [name, value] : request.headers) message.insert(name, value);
  message.body() = std::move(request.body);
  message.prepare_payload();
  stream_->stream.expires_at(deadline);
  result.bytes_sent = true;
  auto error = stream_->Run([&](auto done) { http::async_write(stream_->stream, message, done); });
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::uint64_t{256} << 20);
  if (!error)
    error =
        stream_->Run([&](auto done) { http::async_read(stream_->stream, stream_->buffer, parser, done); });
  if (error) {
    stream_ = nullptr;
    result.failure = "exchange: " + error.message();
    return result;
  }
  const bool keep_alive = parser.get().keep_alive();
  auto response = parser.release();
  result.status = static_cast<int>(response.result_int());
  for (const auto& field : response) result.headers.emplace_back(field.name_string(), field.value());
  result.body = std::move(response.body());
  stream_->stream.expires_never();
  if (!keep_alive) stream_ = nullptr;
  return result;
}

test_response SendOnce(int port, transport::http_request request, std::chrono::milliseconds timeout) {
  test_connection connection(port);
  return connection.Send(std::move(request), timeout);
}

transport::http_request JsonRequest(std::string method, std::string target, const nlohmann::json& body) {
  return {std::move(method),
          std::move(target),
          {{"Content-Type", "application/json"}},
          body.is_null() ? std::string() : body.dump()};
}

}  // namespace hickorystall::harness
