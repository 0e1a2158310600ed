#pragma once

#include <absl/status/status.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace hickorystall::transport {

/// Settings of a peer socket.
struct peer_socket_settings {
  /// "ip:port" to receive messages on; port 0 selects a free port.
  std::string listen = "127.0.0.1:0";
  /// Interval of ZMTP PING commands on a connection.
  std::chrono::milliseconds ping_interval{2000};
  /// Time without any traffic after which a connection is closed and opened again.
  std::chrono::milliseconds ping_timeout{4000};
  /// Messages queued for one peer; further ones are dropped.
  int max_queued_messages = 32;
  /// Largest message that is accepted, in bytes. The largest one is a configuration, of at most a few MB.
  std::int64_t max_message_bytes = 16 << 20;
};

/// Sends and receives whole messages between processes: one ZeroMQ PULL socket to receive and one PUSH socket
/// for each peer (ZMTP 3.1, RFC 37). Delivery is at most once and in order for each peer; messages may be
/// lost when a connection breaks. All ZeroMQ sockets belong to one thread of this class. Thread-safe.
class peer_socket {
 public:
  /// Called on the socket's thread for each received message.
  using receiver = std::function<void(std::string message)>;

  peer_socket(peer_socket_settings settings, receiver on_message);
  /// Calls Stop.
  ~peer_socket();
  peer_socket(const peer_socket&) = delete;
  peer_socket& operator=(const peer_socket&) = delete;

  /// Binds and starts the thread. kUnavailable when the address is invalid or in use.
  absl::Status Start();
  /// Stops the thread. Queued messages are dropped unless they can be sent within a short time.
  void Stop();
  /// Returns the "ip:port" of the listening socket; valid after Start.
  std::string endpoint() const;
  /// Queues `message` for the peer at `endpoint` ("ip:port"), and connects first when needed. The message is
  /// dropped when the socket is stopped or the peer's queue is full.
  void Send(std::string endpoint, std::string message);
  /// Closes the connection to `endpoint` and drops the messages queued for it.
  void Disconnect(std::string endpoint);

 private:
  class io_thread;
  std::unique_ptr<io_thread> io_thread_;
};

}  // namespace hickorystall::transport
