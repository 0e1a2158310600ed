#include "relay.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "transport/async_event.h"

namespace hickorystall::fault_proxy {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBufferBytes = 16384;
// Reading pauses while more bytes than this are queued in a direction, so that a delayed, blocked or
// throttled direction exerts back pressure on its sender.
constexpr std::size_t kMaxQueuedBytes = 1 << 20;
// Interval at which a blocked direction checks its rule, and a paused reader its queue.
constexpr milliseconds kRuleCheckInterval{5};
// Bytes of one write under a rate limit.
constexpr std::size_t kThrottledWriteBytes = 256;

}  // namespace

relay::relay(socket client, socket target, std::shared_ptr<link_state> state)
    : client_(std::move(client)),
      target_(std::move(target)),
      state_(std::move(state)),
      queues_{transfer_queue(client_.get_executor()), transfer_queue(client_.get_executor())} {
  boost::system::error_code ignored;
  client_.set_option(asio::ip::tcp::no_delay(true), ignored);
  target_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void relay::Start() {
  for (const direction dir : {direction::kToTarget, direction::kToClient}) {
    const auto self = shared_from_this();
    asio::co_spawn(
        client_.get_executor(), [self, dir] { return self->ReadLoop(dir); }, asio::detached);
    asio::co_spawn(
        client_.get_executor(), [self, dir] { return self->WriteLoop(dir); }, asio::detached);
  }
}

void relay::Reset() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ignored;
  for (socket* side : {&client_, &target_}) {
    // With a linger time of 0, close sends a reset.
    side->set_option(asio::socket_base::linger(true, 0), ignored);
    side->close(ignored);
  }
  for (transfer_queue& queue : queues_) queue.changed.cancel();
}

asio::awaitable<void> relay::ReadLoop(direction dir) {
  transfer_queue& queue = Queue(dir);
  std::string buffer(kReadBufferBytes, '\0');
  for (bool end = false; !end && !closed_;) {
    auto [error, bytes] = co_await Source(dir).async_read_some(asio::buffer(buffer), kAsTuple);
    end = static_cast<bool>(error);
    if (IsSilent(dir)) continue;
    queue.chunks.push_back({clock::now(), buffer.substr(0, bytes), end});
    queue.bytes += bytes;
    queue.changed.cancel();
    while (queue.bytes > kMaxQueuedBytes && !closed_) co_await transport::Sleep(kRuleCheckInterval);
  }
}

asio::awaitable<void> relay::WriteLoop(direction dir) {
  transfer_queue& queue = Queue(dir);
  while (!closed_) {
    if (queue.chunks.empty()) {
      queue.changed.expires_after(std::chrono::hours(1));
      co_await queue.changed.async_wait(kAsTuple);
      continue;
    }
    chunk next = std::move(queue.chunks.front());
    queue.chunks.pop_front();
    queue.bytes -= next.bytes.size();
    if (!co_await ApplyRule(dir, next)) co_return;
    if (next.end) {
      boost::system::error_code ignored;
      Destination(dir).shutdown(socket::shutdown_send, ignored);
      co_return;
    }
  }
}

// Forwards `next` according to the direction's rule, or discards it when the direction is silent. Returns
// false when the connection was reset.
asio::awaitable<bool> relay::ApplyRule(direction dir, chunk& next) {
  while (!closed_ && !IsSilent(dir) && Rule(dir).mode == fault_mode::kBlock) {
    co_await transport::Sleep(kRuleCheckInterval);
  }
  if (closed_) co_return false;
  if (IsSilent(dir)) co_return true;
  fault_rule& rule = Rule(dir);
  transfer_queue& queue = Queue(dir);
  if (queue.rule_serial != rule.serial) {
    queue.rule_serial = rule.serial;
    queue.bytes_forwarded_in_rule = 0;
  }
  if (rule.mode == fault_mode::kDelay) {
    const auto remaining = next.read_at + rule.delay - clock::now();
    if (remaining > clock::duration::zero()) co_await transport::Sleep(remaining);
  }
  if (rule.mode == fault_mode::kDropReplies && !next.bytes.empty() && rule.remaining_resets > 0) {
    if (--rule.remaining_resets == 0) rule.mode = fault_mode::kPass;
    ++state_->resets;
    Reset();
    co_return false;
  }
  if (rule.mode == fault_mode::kTruncate) {
    const std::int64_t remaining = rule.byte_limit - queue.bytes_forwarded_in_rule;
    if (remaining <= static_cast<std::int64_t>(next.bytes.size())) {
      next.bytes.resize(static_cast<std::size_t>(std::max<std::int64_t>(remaining, 0)));
      co_await Forward(dir, next.bytes);
      ++state_->resets;
      Reset();
      co_return false;
    }
  }
  co_return co_await Forward(dir, next.bytes);
}

asio::awaitable<bool> relay::Forward(direction dir, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const fault_rule& rule = Rule(dir);
    const bool throttled = rule.mode == fault_mode::kThrottle;
    const std::size_t size = std::min(bytes.size() - sent, throttled ? kThrottledWriteBytes : bytes.size());
    if (throttled) {
      co_await transport::Sleep(std::chrono::microseconds(static_cast<std::int64_t>(size) * 1'000'000 /
                                                          std::max<std::int64_t>(rule.bytes_per_second, 1)));
    }
    if (closed_) co_return false;
    auto [error, written] =
        co_await asio::async_write(Destination(dir), asio::buffer(bytes.data() + sent, size), kAsTuple);
    if (error) {
      Reset();
      co_return false;
    }
    sent += written;
    Queue(dir).bytes_forwarded_in_rule += static_cast<std::int64_t>(written);
    state_->forwarded_bytes[static_cast<std::size_t>(dir)] += static_cast<std::int64_t>(written);
  }
  co_return true;
}

}  // namespace hickorystall::fault_proxy
