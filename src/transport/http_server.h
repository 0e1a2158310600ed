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

#include "transport/client_limits.h"
#include "transport/event_loop_pool.h"
#include "transport/http_message.h"
#include "transport/read_failure.h"

namespace hickorystall::transport {

/// Settings of an HTTP server.
struct http_server_settings {
  /// "ip:port" to listen on; port 0 selects a free port.
  std::string listen = "127.0.0.1:0";
  /// Largest request body in bytes.
  std::uint64_t max_body_bytes = 1 << 20;
  /// Largest header section in bytes.
  std::uint32_t max_header_bytes = 16 * 1024;
  /// Limit for reading the header section, from its first byte. Without a `min_body_rate` also for reading
  /// the whole request.
  std::chrono::milliseconds read_timeout{10000};
  /// Slowest mean rate at which a body is read, in bytes a second, beyond a delay of `idle_timeout` in all;
  /// no single gap may be longer than that either. 0 for a body that must arrive within `read_timeout`.
  std::uint64_t min_body_rate = 0;
  /// Time that a connection may stay idle between requests.
  std::chrono::milliseconds idle_timeout{60000};
  /// Limit for writing a response.
  std::chrono::milliseconds write_timeout{10000};
  /// Time that an idle connection stays open after the listening socket has closed, so that a request that
  /// was sent before the peer could notice the stop still arrives.
  std::chrono::milliseconds last_request_timeout{300};
  /// Time that the peer has to close its side after this one. Closing a connection with unread data resets
  /// it, which can destroy the last response on its way.
  std::chrono::milliseconds linger_timeout{1000};
  /// Limit of open connections. Further ones are closed immediately after they are accepted.
  int max_connections = 4096;
  /// Memory and descriptors that several servers share, which must run on one event loop; null without such
  /// limits. They must outlive the server.
  client_limits* limits = nullptr;
  /// How the connections count for the descriptors of `limits`.
  descriptor_use connection_use = descriptor_use::kIncoming;
};

/// An HTTP/1.1 server. Requests on one connection are handled in order; pipelining is supported.
class http_server {
 public:
  /// Handles one request on the event loop of its connection. A response with status 0 closes the connection
  /// without sending anything, for test servers that simulate lost responses.
  using handler = std::function<boost::asio::awaitable<http_response>(http_request)>;
  /// Makes the response to a request that could not be read.
  using failure_responder = std::function<http_response(read_failure)>;

  /// Does not listen until Start. `pool` must outlive the server.
  http_server(event_loop_pool& pool, http_server_settings settings, handler handle,
              failure_responder make_failure_response);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Starts to listen and to accept connections. InvalidArgument for an invalid address, Unavailable for one
  /// that cannot be bound.
  absl::Status Start();
  /// Returns the port of the listening socket; 0 before Start.
  int port() const;
  /// Closes each connection after its next response from now on. New connections are still accepted.
  void BeginDrain();
  /// Waits for TCP handshakes in progress, then closes the listening socket. Idle connections are closed
  /// after `last_request_timeout`. Returns immediately; is_listening and open_connections tell when it is
  /// done.
  void StopAccepting();
  /// True from Start until the listening socket is closed.
  bool is_listening() const;
  /// Returns the number of requests that were received at least in part and whose response is not yet
  /// written.
  int requests_in_flight() const;
  /// Returns the number of connections open now.
  int open_connections() const;

 private:
  struct shared_state;
  std::shared_ptr<shared_state> state_;
};

}  // namespace hickorystall::transport
