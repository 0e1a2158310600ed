#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "transport/descriptor_budget.h"
#include "transport/event_loop_pool.h"
#include "transport/http_message.h"

namespace hickorystall::transport {

/// Settings of the pooled HTTP client.
struct http_client_settings {
  /// Limit for opening a TCP connection.
  std::chrono::milliseconds connect_timeout{1000};
  /// Time after which an idle connection is closed. Shorter than common idle
  /// timeouts of servers.
  std::chrono::milliseconds idle_timeout{20000};
  /// Idle connections kept for each endpoint on each event loop.
  std::size_t max_idle_per_endpoint = 64;
  /// Largest response body in bytes.
  std::uint64_t max_body_bytes = 64u << 20;
  /// Descriptors that the client shares with others on its only event loop;
  /// null without a limit. They must outlive the event loop.
  descriptor_budget* descriptors = nullptr;
  /// How the connections count for `descriptors`.
  descriptor_use connection_use = descriptor_use::kOutgoing;
};

/// How a peer ended an exchange without a response.
enum class peer_end {
  /// It did not, or in another way: a timeout, a reset, an unreachable address.
  kNone,
  /// It closed the connection in an orderly way before it sent a byte of the
  /// response.
  kClosed,
  /// It refused the connection: no process listens at the address.
  kRefused,
};

/// Result of one HTTP exchange.
struct http_exchange {
  /// Ok when a complete response was read. DeadlineExceeded after the timeout,
  /// ResourceExhausted without a descriptor for the connection, Unavailable for
  /// a connection that failed, DataLoss for a response that is truncated, not
  /// valid HTTP or not accepted by the caller.
  absl::Status status;
  /// True when the peer may have received a byte of the request.
  bool bytes_sent = false;
  /// The response; empty unless the status is ok.
  http_response response;
  /// How the peer ended the exchange, when the status is not ok.
  peer_end ended_by_peer = peer_end::kNone;
};

/// An HTTP client that keeps connections open between exchanges. Safe to use
/// from every loop of the pool. It never retries an exchange on its own.
class http_client {
 public:
  /// `pool` must outlive the client.
  http_client(event_loop_pool& pool, http_client_settings settings);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Returns whether a response belongs to the request for which it was read.
  using response_check = std::function<bool(const http_response&)>;

  /// Sends `request` to `endpoint` ("ip:port") and reads the complete response
  /// within `timeout`. Must be called on a loop of the pool. When
  /// `accepts_response` is given and returns false, the exchange fails with
  /// DataLoss and the connection is closed, since later responses on it may
  /// belong to other requests too.
  boost::asio::awaitable<http_exchange> Send(std::string endpoint, http_request request,
                                             std::chrono::milliseconds timeout,
                                             response_check accepts_response = nullptr);

  // The functions below concern the connections of the calling loop.

  /// Closes the connections to `endpoint`, whose process has left: idle ones at
  /// once, others after their exchange. A later exchange connects anew.
  void CloseConnections(const std::string& endpoint);
  /// Closes the connection that has been idle for the longest time. Returns
  /// false when none is idle.
  bool CloseLongestIdle();
  /// Number of open connections.
  std::size_t open_connections() const;
  /// Number of open connections that are idle.
  std::size_t idle_connections() const;

 private:
  struct loop_state;
  struct shared_state;
  class connection_lease;
  std::shared_ptr<shared_state> state_;
};

}  // namespace hickorystall::transport
