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
constexpr std::size_t kReadBytes = 16384;
// Bytes read ahead of a delay or block, so that a slow direction slows its sender down.
constexpr std::size_t kMaxQueuedBytes = 1 << 20;
// Interval at which a blocked direction looks at its rule.
constexpr milliseconds kRuleCheck{5};
// Bytes forwarded at once under a rate limit.
constexpr std::size_t kThrottledBytes = 256;

}  // namespace

relay::relay(socket client, socket target, std::shared_ptr<link_state> state)
    : client_(std::move(client)),
      target_(std::move(target)),
      state_(std::move(state)),
      pipes_{pipe(client_.get_executor()), pipe(client_.get_executor())} {
  boost::system::error_code ignored;
  client_.set_option(asio::ip::tcp::no_delay(true), ignored);
  target_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void relay::Start() {
  for (const direction which : {direction::kToTarget, direction::kToClient}) {
    const auto self = shared_from_this();
    asio::co_spawn(
        client_.get_executor(), [self, which] { return self->ReadLoop(which); }, asio::detached);
    asio::co_spawn(
        client_.get_executor(), [self, which] { return self->WriteLoop(which); }, asio::detached);
  }
}

void relay::Reset() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ignored;
  for (socket* side : {&client_, &target_}) {
    // Without lingering the close sends a reset.
    side->set_option(asio::socket_base::linger(true, 0), ignored);
    side->close(ignored);
  }
  for (pipe& queue : pipes_) queue.changed.cancel();
}

asio::awaitable<void> relay::ReadLoop(direction which) {
  pipe& queue = Pipe(which);
  std::string buffer(kReadBytes, '\0');
  for (bool end = false; !end && !closed_;) {
    auto [error, bytes] = co_await From(which).async_read_some(asio::buffer(buffer), kAsTuple);
    end = static_cast<bool>(error);
    if (IsSilent(which)) continue;
    queue.chunks.push_back({clock::now(), buffer.substr(0, bytes), end});
    queue.bytes += bytes;
    queue.changed.cancel();
    while (queue.bytes > kMaxQueuedBytes && !closed_) co_await transport::Sleep(kRuleCheck);
  }
}

asio::awaitable<void> relay::WriteLoop(direction which) {
  pipe& queue = Pipe(which);
  while (!closed_) {
    if (queue.chunks.empty()) {
      queue.changed.expires_after(std::chrono::hours(1));
      co_await queue.changed.async_wait(kAsTuple);
      continue;
    }
    chunk next = std::move(queue.chunks.front());
    queue.chunks.pop_front();
    queue.bytes -= next.bytes.size();
    if (!co_await ApplyRule(which, next)) co_return;
    if (next.end) {
      boost::system::error_code ignored;
      To(which).shutdown(socket::shutdown_send, ignored);
      co_return;
    }
  }
}

// Forwards `next` as the rule asks. Returns false when the direction has ended.
asio::awaitable<bool> relay::ApplyRule(direction which, chunk& next) {
  while (!closed_ && !IsSilent(which) && Rule(which).mode == fault_mode::kBlock) {
    co_await transport::Sleep(kRuleCheck);
  }
  if (closed_) co_return false;
  if (IsSilent(which)) co_return true;
  fault_rule& rule = Rule(which);
  pipe& queue = Pipe(which);
  if (queue.rule_serial != rule.serial) {
    queue.rule_serial = rule.serial;
    queue.forwarded_in_rule = 0;
  }
  if (rule.mode == fault_mode::kDelay) {
    const auto left = next.due + rule.delay - clock::now();
    if (left > clock::duration::zero()) co_await transport::Sleep(left);
  }
  if (rule.mode == fault_mode::kDropReplies && !next.bytes.empty() && rule.count > 0) {
    if (--rule.count == 0) rule.mode = fault_mode::kPass;
    ++state_->resets;
    Reset();
    co_return false;
  }
  if (rule.mode == fault_mode::kTruncate) {
    const std::int64_t left = rule.bytes - queue.forwarded_in_rule;
    if (left <= static_cast<std::int64_t>(next.bytes.size())) {
      next.bytes.resize(static_cast<std::size_t>(std::max<std::int64_t>(left, 0)));
      co_await Forward(which, next.bytes);
      ++state_->resets;
      Reset();
      co_return false;
    }
  }
  co_return co_await Forward(which, next.bytes);
}

asio::awaitable<bool> relay::Forward(direction which, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const fault_rule& rule = Rule(which);
    const bool throttled = rule.mode == fault_mode::kThrottle;
    const std::size_t size = std::min(bytes.size() - sent, throttled ? kThrottledBytes : bytes.size());
    if (throttled) {
      co_await transport::Sleep(std::chrono::microseconds(static_cast<std::int64_t>(size) * 1'000'000 /
                                                          std::max<std::int64_t>(rule.bytes_per_second, 1)));
    }
    if (closed_) co_return false;
    auto [error, written] =
        co_await asio::async_write(To(which), asio::buffer(bytes.data() + sent, size), kAsTuple);
    if (error) {
      Reset();
      co_return false;
    }
    sent += written;
    Pipe(which).forwarded_in_rule += static_cast<std::int64_t>(written);
    state_->forwarded[static_cast<std::size_t>(which)] += static_cast<std::int64_t>(written);
  }
  co_return true;
}

}  // namespace hickorystall::fault_proxy
