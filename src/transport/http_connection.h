#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>

#include "transport/client_limits.h"
#include "transport/http_message.h"
#include "transport/http_server.h"
#include "transport/memory_budget.h"
#include "transport/request_reader.h"

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
class http_connection : public sheddable, public std::enable_shared_from_this<http_connection> {
 public:
  http_connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<http_server_context> context);
  ~http_connection() override;

  /// Handles requests in order until either side closes the connection.
  boost::asio::awaitable<void> Serve();
  /// Reduces the timeout of an idle connection to `last_request_timeout`, for a request that is on its way,
  /// and that of a request in progress to `read_timeout`.
  void ShortenTimeouts();
  /// Returns the executor of the connection's event loop.
  boost::asio::any_io_executor executor() { return socket_.get_executor(); }

  std::optional<clock::duration> ExpectedTime(clock::time_point now) const override;
  std::size_t held_bytes() const override { return charge_.bytes(); }
  bool is_idle() const override { return phase_ == phase::kIdle; }
  void Shed(limit_reason reason) override;

 private:
  enum class phase { kIdle, kReading, kHandling, kWriting, kLingering };
  // What to do after an attempt to read.
  enum class read_result { kRequest, kRefuse, kClose };

  boost::asio::awaitable<bool> ServeRequest();
  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<read_result> ReadRequest();
  boost::asio::awaitable<read_result> ReadSome();
  boost::asio::awaitable<bool> HandleRequest();
  boost::asio::awaitable<bool> Refuse();
  void Close();
  // Reserves `bytes` in all for this connection after other connections have been closed.
  boost::asio::awaitable<bool> MakeRoom(std::size_t bytes);
  boost::asio::awaitable<bool> Write(http_response response, bool keep_alive);
  boost::asio::awaitable<void> Linger();
  // Sends the response to a request that is not run, as far as that is possible without waiting.
  void SendWithoutWaiting(read_failure failure);
  bool ReadAvailable();
  bool ClosesAfterResponse() const;
  void Count(limit_reason reason);
  clock::time_point ReadDeadline(clock::time_point now);
  // Cancels the operation in progress after `duration`.
  void SetTimeout(clock::duration duration);
  void SetDeadline(clock::time_point now, clock::time_point deadline);
  void ClearTimeout() { deadline_ = clock::time_point::max(); }
  void ArmTimer();
  void OnTimer();

  boost::asio::ip::tcp::socket socket_;
  const std::shared_ptr<http_server_context> context_;
  client_limits* const limits_;
  request_reader reader_;
  memory_charge charge_;
  // Usually re-armed only when it expires, since most deadlines are extended before that.
  boost::asio::steady_timer timer_;
  clock::time_point deadline_ = clock::time_point::max();
  clock::time_point timer_expiry_ = clock::time_point::max();
  bool timed_out_ = false;
  phase phase_ = phase::kIdle;
  // When the present operation began, such as the last read of a request.
  clock::time_point operation_begin_ = clock::now();
  // When the connection began to wait for the rest of a request, and of its body; unset before that.
  std::optional<clock::time_point> reading_since_;
  std::optional<clock::time_point> body_since_;
  // Time at which reading must end, also when the request makes progress.
  clock::time_point reading_end_ = clock::time_point::max();
  read_failure failure_ = read_failure::kMalformed;
  // True when the connection is to be closed without waiting for the peer.
  bool is_shed_ = false;
  bool is_closed_ = false;
  // True when this side closes the connection although the peer may still send data.
  bool lingers_ = false;
};

}  // namespace hickorystall::transport
