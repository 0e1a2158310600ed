#pragma once

#include <absl/status/status.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace hickorystall::transport {

/// Settings of a peer socket.
struct peer_socket_settings {
  /// "ip:port" on which messages are received; port 0 takes a free one.
  std::string listen = "127.0.0.1:0";
  /// Interval of ZMTP pings on an idle connection.
  std::chrono::milliseconds ping_interval{2000};
  /// Time without any traffic after which a connection is closed and made anew.
  std::chrono::milliseconds ping_timeout{4000};
  /// Messages that wait for one peer; more are dropped.
  int max_queued_messages = 32;
  /// Largest message received, in bytes.
  std::int64_t max_message_bytes = 64 << 20;
};

/// Sends and receives whole messages between processes: one ZeroMQ PULL socket to receive and one PUSH socket
/// for each peer (ZMTP 3.1, RFC 37). Delivery is at most once and in order for each peer; a message may be
/// lost when a connection breaks. All ZeroMQ sockets belong to one thread of this class. Thread-safe.
class peer_socket {
 public:
  /// Takes a received message; runs on the socket's thread.
  using receiver = std::function<void(std::string message)>;

  peer_socket(peer_socket_settings settings, receiver on_message);
  /// Stops the thread; messages still queued are dropped.
  ~peer_socket();
  peer_socket(const peer_socket&) = delete;
  peer_socket& operator=(const peer_socket&) = delete;

  /// Binds and starts the thread. kUnavailable when the address is invalid or in use.
  absl::Status Start();
  /// Stops the thread after a short attempt to send what is queued.
  void Stop();
  /// "ip:port" that is listened on; valid after Start.
  std::string endpoint() const;
  /// Queues `message` for the peer at `endpoint` ("ip:port"), connecting first when needed. Dropped when the
  /// socket is stopped or the peer's queue is full.
  void Send(std::string endpoint, std::string message);
  /// Closes the connection to `endpoint` and drops what is queued for it.
  void Disconnect(std::string endpoint);

 private:
  class worker;
  std::unique_ptr<worker> worker_;
};

}  // namespace hickorystall::transport
