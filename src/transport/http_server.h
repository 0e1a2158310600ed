#pragma once

#include <absl/status/status.h>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "transport/event_loop_pool.h"
#include "transport/http_message.h"

namespace hickorystall::transport {

/// Why the server could not read a request.
enum class read_failure { kMalformed, kBodyTooLarge, kHeadersTooLarge, kTooSlow };

/// Settings of an HTTP server.
struct http_server_settings {
  /// "ip:port" to listen on; port 0 takes a free one.
  std::string listen = "127.0.0.1:0";
  /// Largest request body in bytes.
  std::uint64_t max_body_bytes = 1 << 20;
  /// Largest header section in bytes.
  std::uint32_t max_header_bytes = 16 * 1024;
  /// Time in which a request must be read whole, from its first byte.
  std::chrono::milliseconds read_timeout{10000};
  /// Time that a connection may stay open between requests.
  std::chrono::milliseconds idle_timeout{60000};
  /// Time in which a response must be written.
  std::chrono::milliseconds write_timeout{10000};
  /// Time that an idle connection stays open after the listening socket has closed. A request that the peer
  /// sent before it could know of the stop arrives within it.
  std::chrono::milliseconds last_request_timeout{300};
  /// Time for the peer to close its side after this one. Closing earlier with unread data would reset the
  /// connection and could destroy the last answer on its way.
  std::chrono::milliseconds linger_timeout{1000};
  /// Connections open at the same time; more are closed at once.
  int max_connections = 4096;
};

/// An HTTP/1.1 server. Requests on one connection are answered in order; pipelining is supported.
class http_server {
 public:
  /// Answers one request. Runs on the event loop of its connection. A response with status 0 closes the
  /// connection without an answer, for stand-ins that lose replies.
  using handler = std::function<boost::asio::awaitable<http_response>(http_request)>;
  /// Makes the answer to a request that could not be read.
  using failure_answer = std::function<http_response(read_failure)>;

  /// Does not listen yet. `pool` must outlive the server.
  http_server(event_loop_pool& pool, http_server_settings settings, handler handle,
              failure_answer answer_failure);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Listens and accepts connections. Fails when the address is invalid or in use.
  absl::Status Start();
  /// The port that is listened on.
  int port() const;
  /// From now on each answer closes its connection. New connections are still accepted.
  void BeginDrain();
  /// Lets connections that are being made complete, then closes the listening socket. Idle connections get a
  /// last moment for a request that is on its way and are then closed. Returns at once; is_listening and
  /// open_connections tell when it is done.
  void StopAccepting();
  /// True from Start until the listening socket is closed.
  bool is_listening() const;
  /// Requests that were read in part or whole and whose answer is not yet written.
  int requests_in_flight() const;
  /// Connections open now.
  int open_connections() const;

 private:
  struct shared_state;
  std::shared_ptr<shared_state> state_;
};

}  // namespace hickorystall::transport
