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

/// What the connections of one server share.
struct http_server_context {
  /// Settings of the server.
  http_server_settings settings;
  /// Answers one request.
  http_server::handler handle;
  /// Makes the answer to a request that could not be read.
  http_server::failure_answer answer_failure;
  /// Requests that were read in part or whole and whose answer is not yet written.
  std::atomic<int> in_flight{0};
  /// True when answers close their connection.
  std::atomic<bool> draining{false};
  /// True when the listening socket is closed.
  std::atomic<bool> stopped{false};
};

/// One connection of an HTTP server. All members run on the event loop of the socket.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  http_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<http_server_context> context);

  /// Answers requests in order until either side closes the connection.
  boost::asio::awaitable<void> Serve();
  /// Gives an idle connection a last moment for a request that is on its way.
  void LimitIdleTime();
  /// The event loop of the connection.
  boost::asio::any_io_executor executor() { return socket_.get_executor(); }

 private:
  using clock = std::chrono::steady_clock;

  boost::asio::awaitable<bool> ServeOne();
  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<bool> Write(http_response response, bool keep_alive);
  boost::asio::awaitable<void> Linger();
  bool ReadAvailable();
  bool ClosesAfterAnswer() const;
  // Cancels the operation in progress when it takes longer than `duration`.
  void SetTimeout(clock::duration duration);
  void ClearTimeout() { deadline_ = clock::time_point::max(); }
  void ArmTimer();
  void OnTimer();

  boost::asio::ip::tcp::socket socket_;
  const std::shared_ptr<http_server_context> context_;
  boost::beast::flat_buffer buffer_;
  // The timer is only re-armed when it expires, since a deadline usually moves on before that.
  boost::asio::steady_timer timer_;
  clock::time_point deadline_ = clock::time_point::max();
  clock::time_point timer_expiry_ = clock::time_point::max();
  bool timed_out_ = false;
  // True between two requests.
  bool idle_ = false;
  // True when the peer may still send although this side closes.
  bool lingers_ = false;
};

}  // namespace hickorystall::transport
