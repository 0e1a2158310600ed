#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "transport/event_loop_pool.h"
#include "transport/http_message.h"

namespace hickorystall::transport {

/// Settings of the pooled HTTP client.
struct http_client_settings {
  /// Time in which a TCP connection must be made.
  std::chrono::milliseconds connect_timeout{1000};
  /// Time after which an unused connection is closed. Shorter than usual server idle timeouts.
  std::chrono::milliseconds idle_timeout{20000};
  /// Idle connections kept for one endpoint and event loop.
  std::size_t max_idle_per_endpoint = 64;
  /// Largest response body in bytes.
  std::uint64_t max_body_bytes = 64u << 20;
};

/// Result of one HTTP exchange.
struct http_exchange {
  /// Ok when a whole response was read. DeadlineExceeded after the timeout, Unavailable for a connection that
  /// failed, DataLoss for a response that broke off or does not follow HTTP.
  absl::Status status;
  /// True when the peer may have received a byte of the request.
  bool bytes_sent = false;
  /// The response; empty unless the status is ok.
  http_response response;
};

/// A client that keeps connections open between exchanges. Safe to use from every loop of the pool. It never
/// repeats an exchange by itself.
class http_client {
 public:
  /// `pool` must outlive the client.
  http_client(event_loop_pool& pool, http_client_settings settings);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Tells whether a response belongs to the request that it was read for.
  using response_check = std::function<bool(const http_response&)>;

  /// Sends `request` to `endpoint` ("ip:port") and reads the whole response within `timeout`. Must be called
  /// on a loop of the pool. When `belongs` is given and returns false, the exchange fails with DataLoss and
  /// the connection is closed: what follows on it may belong to other requests as well.
  boost::asio::awaitable<http_exchange> Send(std::string endpoint, http_request request,
                                             std::chrono::milliseconds timeout,
                                             response_check belongs = nullptr);

 private:
  struct shared_state;
  std::shared_ptr<shared_state> state_;
};

}  // namespace hickorystall::transport
