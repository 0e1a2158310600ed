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
  /// They are forwarded.
  kPass,
  /// Connections are reset, and new ones at once after they are accepted.
  kCut,
  /// They are kept back and forwarded when the mode changes, as TCP does after a short partition.
  kBlock,
  /// They are forwarded after a delay.
  kDelay,
  /// They are forwarded at a limited rate.
  kThrottle,
  /// The connection is reset after a number of bytes.
  kTruncate,
  /// The connection is reset instead of forwarding the first bytes that arrive.
  kDropReplies,
};

/// Direction of the bytes of a connection.
enum class direction { kToTarget, kToClient };

/// The mode of one direction of a link with its parameters.
struct fault_rule {
  /// What happens.
  fault_mode mode = fault_mode::kPass;
  /// kDelay: time from reading to forwarding.
  std::chrono::milliseconds delay{0};
  /// kThrottle: bytes a second.
  std::int64_t bytes_per_second = 1;
  /// kTruncate: bytes of a connection, counted from the rule's start, that are forwarded.
  std::int64_t bytes = 0;
  /// kDropReplies: how often; the rule becomes kPass then.
  int count = 1;
  /// Distinguishes this rule from earlier ones.
  std::int64_t serial = 0;
};

/// State that a link shares with its relays.
struct link_state {
  /// Rules by direction.
  std::array<fault_rule, 2> rules;
  /// Bytes forwarded by direction.
  std::array<std::int64_t, 2> forwarded{};
  /// Connections reset by a rule.
  std::int64_t resets = 0;
};

/// One proxied connection. Runs on one event loop.
class relay : public std::enable_shared_from_this<relay> {
 public:
  relay(boost::asio::ip::tcp::socket client, boost::asio::ip::tcp::socket target,
        std::shared_ptr<link_state> state);

  /// Starts forwarding; the relay lives until both sides have closed.
  void Start();
  /// Discards everything from now on in one direction, the end of the stream included.
  void Silence(direction which) { silent_[static_cast<std::size_t>(which)] = true; }
  /// Resets both connections.
  void Reset();

 private:
  using socket = boost::asio::ip::tcp::socket;
  struct chunk {
    std::chrono::steady_clock::time_point due;
    std::string bytes;
    bool end = false;
  };
  // Queue between the reader and the writer of one direction.
  struct pipe {
    explicit pipe(const boost::asio::any_io_executor& executor) : changed(executor) {}
    std::deque<chunk> chunks;
    std::size_t bytes = 0;
    boost::asio::steady_timer changed;
    std::int64_t rule_serial = 0;
    std::int64_t forwarded_in_rule = 0;
  };

  boost::asio::awaitable<void> ReadLoop(direction which);
  boost::asio::awaitable<void> WriteLoop(direction which);
  boost::asio::awaitable<bool> ApplyRule(direction which, chunk& next);
  boost::asio::awaitable<bool> Forward(direction which, const std::string& bytes);
  socket& From(direction which) { return which == direction::kToTarget ? client_ : target_; }
  socket& To(direction which) { return which == direction::kToTarget ? target_ : client_; }
  fault_rule& Rule(direction which) { return state_->rules[static_cast<std::size_t>(which)]; }
  pipe& Pipe(direction which) { return pipes_[static_cast<std::size_t>(which)]; }
  bool IsSilent(direction which) const { return silent_[static_cast<std::size_t>(which)]; }

  socket client_;
  socket target_;
  std::shared_ptr<link_state> state_;
  std::array<pipe, 2> pipes_;
  std::array<bool, 2> silent_{};
  bool closed_ = false;
};

}  // namespace hickorystall::fault_proxy
