#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <memory>

#include "transport/http_message.h"
#include "transport/http_server.h"

namespace hickorystall::transport {

/// State that the connections of one server share.
struct http_server_context {
  http_server_settings settings;
  /// Handles one request.
  http_server::handler handle;
  /// Makes the response to a request that could not be read.
  http_server::failure_responder make_failure_response;
  /// Requests that were received at least in part and whose response is not yet written.
  std::atomic<int> in_flight{0};
  /// True when the connection is closed after the next response.
  std::atomic<bool> draining{false};
  /// True when the listening socket is closed.
  std::atomic<bool> stopped{false};
};

/// One connection of an HTTP server. All members run on the event loop of the socket.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  http_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<http_server_context> context);

  /// Handles requests in order until either side closes the connection.
  boost::asio::awaitable<void> Serve();
  /// Reduces the timeout of an idle connection to `last_request_timeout`, for a request that is on its way.
  void ShortenIdleTimeout();
  /// Returns the executor of the connection's event loop.
  boost::asio::any_io_executor executor() { return socket_.get_executor(); }

 private:
  using clock = std::chrono::steady_clock;

  boost::asio::awaitable<bool> ServeRequest();
  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<bool> Write(http_response response, bool keep_alive);
  boost::asio::awaitable<void> Linger();
  bool ReadAvailable();
  bool ClosesAfterResponse() const;
  // Cancels the operation in progress after `duration`.
  void SetTimeout(clock::duration duration);
  void ClearTimeout() { deadline_ = clock::time_point::max(); }
  void ArmTimer();
  void OnTimer();

  boost::asio::ip::tcp::socket socket_;
  const std::shared_ptr<http_server_context> context_;
  boost::beast::flat_buffer buffer_;
  // Usually re-armed only when it expires, since most deadlines are extended before that.
  boost::asio::steady_timer timer_;
  clock::time_point deadline_ = clock::time_point::max();
  clock::time_point timer_expiry_ = clock::time_point::max();
  bool timed_out_ = false;
  // True while the connection waits for the first byte of a request.
  bool idle_ = false;
  // True when this side closes the connection although the peer may still send data.
  bool lingers_ = false;
};

}  // namespace hickorystall::transport
