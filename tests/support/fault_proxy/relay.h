#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace hickorystall::fault_proxy {

/// What happens to the bytes of one direction of a link.
enum class fault_mode {
  /// They are forwarded at once.
  kPass,
  /// Open connections are reset, and new ones are reset as soon as they are accepted.
  kCut,
  /// They are held back and forwarded when the mode changes, as TCP retransmits them after a short partition.
  kBlock,
  /// They are forwarded after a fixed delay.
  kDelay,
  /// They are forwarded at a limited rate.
  kThrottle,
  /// The connection is reset after a number of bytes has been forwarded.
  kTruncate,
  /// The connection is reset when bytes arrive, and none of them is forwarded.
  kDropReplies,
};

/// Direction of the bytes of a connection.
enum class direction { kToTarget, kToClient };

/// The mode of one direction of a link, and the mode's parameters.
struct fault_rule {
  fault_mode mode = fault_mode::kPass;
  /// kDelay: time between reading and forwarding a byte.
  std::chrono::milliseconds delay{0};
  /// kThrottle: rate limit of each connection.
  std::int64_t bytes_per_second = 1;
  /// kTruncate: bytes that each connection forwards under this rule before it is reset.
  std::int64_t byte_limit = 0;
  /// kDropReplies: resets still to come, over all connections of the link; at 0 the mode becomes kPass.
  int remaining_resets = 1;
  /// Increases with every rule that is set; 0 for the initial rule.
  std::int64_t serial = 0;
};

/// State that a link shares with its relays. Arrays are indexed by `direction`.
struct link_state {
  std::array<fault_rule, 2> rules;
  /// Bytes forwarded over all connections.
  std::array<std::int64_t, 2> forwarded_bytes{};
  /// Connections that a rule reset after they were established.
  std::int64_t resets = 0;
};

/// One proxied connection: the socket of a client and the one to the target. Runs on one event loop.
class relay : public std::enable_shared_from_this<relay> {
 public:
  relay(boost::asio::ip::tcp::socket client, boost::asio::ip::tcp::socket target,
        std::shared_ptr<link_state> state);

  /// Starts forwarding. The coroutines keep the relay alive until both directions have ended or the
  /// connection is reset.
  void Start();
  /// Discards everything from now on in one direction, including the end of the stream.
  void Silence(direction dir) { silent_[static_cast<std::size_t>(dir)] = true; }
  /// Closes both sockets with a TCP reset.
  void Reset();

 private:
  using socket = boost::asio::ip::tcp::socket;
  // Bytes of one read, and whether the stream ended with it.
  struct chunk {
    std::chrono::steady_clock::time_point read_at;
    std::string bytes;
    bool end = false;
  };
  // Queue between the reader and the writer of one direction. `bytes` is the size of all chunks; cancelling
  // the timer `changed` wakes the writer. `rule_serial` and `bytes_forwarded_in_rule` belong to the rule that
  // was applied last.
  struct transfer_queue {
    explicit transfer_queue(const boost::asio::any_io_executor& executor) : changed(executor) {}
    std::deque<chunk> chunks;
    std::size_t bytes = 0;
    boost::asio::steady_timer changed;
    std::int64_t rule_serial = 0;
    std::int64_t bytes_forwarded_in_rule = 0;
  };

  boost::asio::awaitable<void> ReadLoop(direction dir);
  boost::asio::awaitable<void> WriteLoop(direction dir);
  boost::asio::awaitable<bool> ApplyRule(direction dir, chunk& next);
  boost::asio::awaitable<bool> Forward(direction dir, const std::string& bytes);
  socket& Source(direction dir) { return dir == direction::kToTarget ? client_ : target_; }
  socket& Destination(direction dir) { return dir == direction::kToTarget ? target_ : client_; }
  fault_rule& Rule(direction dir) { return state_->rules[static_cast<std::size_t>(dir)]; }
  transfer_queue& Queue(direction dir) { return queues_[static_cast<std::size_t>(dir)]; }
  bool IsSilent(direction dir) const { return silent_[static_cast<std::size_t>(dir)]; }

  socket client_;
  socket target_;
  std::shared_ptr<link_state> state_;
  std::array<transfer_queue, 2> queues_;
  std::array<bool, 2> silent_{};
  bool closed_ = false;
};

}  // namespace hickorystall::fault_proxy
