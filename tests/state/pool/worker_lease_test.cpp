// Tests of the bound of a worker's lease against a model of the worker.
#include "state/pool/worker_lease.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <optional>
#include <tuple>
#include <vector>

namespace hickorystall::tests {

using namespace state::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

pool_settings Settings(milliseconds max_lease) {
  pool_settings settings;
  settings.worker_lease = milliseconds(6000);
  settings.max_worker_lease = max_lease;
  return settings;
}

boot_time At(double time_ms) { return boot_time(milliseconds(std::llround(time_ms))); }

// A worker whose clock starts anew with each incarnation and may be 2% slow or fast.
class worker_model {
 public:
  worker_model(double rate, milliseconds max_lease) : rate_(rate), max_lease_ms_(max_lease.count()) {}

  double ClockMs(double now_ms) const { return 1000 + (now_ms - born_ms_) * rate_; }
  worker_time Clock(double now_ms) const { return worker_time(milliseconds(std::llround(ClockMs(now_ms)))); }
  bool IsUp(double now_ms) const { return now_ms >= born_ms_; }
  void Execute(double now_ms, worker_time deadline) {
    const auto asked_ms = static_cast<double>(deadline.time_since_epoch().count());
    deadline_ms_ = std::max(deadline_ms_, std::min(asked_ms, ClockMs(now_ms) + max_lease_ms_));
  }
  void Restart(double now_ms, double down_ms) {
    born_ms_ = now_ms + down_ms;
    deadline_ms_ = 0;
  }
  // Time at which the lease ends; empty if none was granted.
  std::optional<double> LeaseEndMs() const {
    if (deadline_ms_ == 0) return std::nullopt;
    return born_ms_ + (deadline_ms_ - 1000) / rate_;
  }

 private:
  const double rate_;
  const double max_lease_ms_;
  double born_ms_ = -100'000;
  double deadline_ms_ = 0;
};

// An owner that sends orders to one worker, through a network that delays and loses replies.
class lease_model {
 public:
  lease_model(double rate, milliseconds max_lease)
      : settings_(Settings(max_lease)), worker_(rate, max_lease) {
    lease_.ReadClock(worker_.Clock(now_ms_), At(now_ms_));
  }

  void Step(int kind, int first, int second) {
    switch (kind % 6) {
      case 0:
        return Advance(first * 20.0);
      case 1:
        return ReadClock(first);
      case 2:
        return SendGrant(first, second, true);
      case 3:
        return SendGrant(first, second, false);
      case 4:
        worker_.Restart(now_ms_, 1000.0 + first * 3);
        is_restart_known_ = false;
        return;
      default:
        return LearnOfRestart();
    }
  }

  // Returns whether the lease ends within the bound. An owner that does not know of a restart grants a lease
  // only to a worker that has just replied, so that case is left out.
  bool IsBounded() const {
    const std::optional<double> end = worker_.LeaseEndMs();
    return !is_restart_known_ || !end || At(*end) <= lease_.bound();
  }

 private:
  struct late_order {
    double execute_at_ms;
    worker_time deadline;
  };

  void Advance(double time_ms) {
    const double end_ms = now_ms_ + time_ms;
    for (const late_order& order : late_) {
      const bool is_due = order.execute_at_ms > now_ms_ && order.execute_at_ms <= end_ms;
      if (is_due && worker_.IsUp(order.execute_at_ms)) worker_.Execute(order.execute_at_ms, order.deadline);
    }
    now_ms_ = end_ms;
  }

  void ReadClock(int delay) {
    if (!worker_.IsUp(now_ms_) || !is_restart_known_) return;
    const worker_time clock = worker_.Clock(now_ms_);
    Advance(delay % 150);
    lease_.ReadClock(clock, At(now_ms_));
  }

  void SendGrant(int delay, int lateness, bool is_answered) {
    if (lease_.clock_read_at() == boot_time{}) return;
    const boot_time sent_at = At(now_ms_);
    const worker_time deadline = lease_.Grant(settings_, sent_at);
    const bool is_executed = is_answered || lateness % 3 == 0;
    if (is_executed) Advance(delay % 150);
    if (is_executed && worker_.IsUp(now_ms_)) {
      worker_.Execute(now_ms_, deadline);
      const worker_time clock = worker_.Clock(now_ms_);
      Advance(delay % 70);
      if (is_answered) return lease_.HandleReply(settings_, deadline, clock, At(now_ms_));
    }
    // Orders are executed up to 12 s late, which lateness / 1000 * 10 s does not exceed.
    if (!is_executed) late_.push_back({now_ms_ + 2000 + lateness * 10.0, deadline});
    const bool was_restart_known = is_restart_known_;
    Advance(400);
    if (lateness % 2 == 0) LearnOfRestart();
    lease_.HandleNoReply(settings_, sent_at, is_restart_known_ != was_restart_known);
  }

  void LearnOfRestart() {
    if (is_restart_known_ || !worker_.IsUp(now_ms_)) return;
    lease_.HandleRestart(settings_);
    lease_.ReadClock(worker_.Clock(now_ms_), At(now_ms_));
    is_restart_known_ = true;
  }

  const pool_settings settings_;
  worker_lease lease_;
  worker_model worker_;
  double now_ms_ = 1'000'000;
  bool is_restart_known_ = true;
  std::vector<late_order> late_;
};

}  // namespace

// Guards against two runs of one task: the deadline of a start was computed on the clock of an incarnation
// that had ended, and its successor took it for a lease of the maximum length.
TEST_CASE("a reply with a restarted clock extends the bound of the lease", "[pool]") {
  const pool_settings settings = Settings(milliseconds(10'000));
  const boot_time now(seconds(1000));
  worker_lease lease;
  lease.ReadClock(worker_time(seconds(500)), now);
  const worker_time deadline = lease.Grant(settings, now);
  CHECK(lease.bound() == now + milliseconds(6380));
  SECTION("by the incarnation that was known") {
    lease.HandleReply(settings, deadline, worker_time(milliseconds(502'500)), now + milliseconds(2500));
    CHECK(lease.bound() == now + milliseconds(6380));
  }
  SECTION("by its successor") {
    lease.HandleReply(settings, deadline, worker_time(milliseconds(1100)), now + milliseconds(2500));
    CHECK(lease.bound() == now + milliseconds(2500 + 10'300 + 200));
  }
}

// Guards against the same where the reply to the start was lost: the restart shows that the successor may
// still execute it.
TEST_CASE("a restart extends the bound by the orders without a reply", "[pool]") {
  const pool_settings settings = Settings(milliseconds(10'000));
  const boot_time now(seconds(1000));
  worker_lease lease;
  lease.ReadClock(worker_time(seconds(500)), now);
  lease.Grant(settings, now);
  const boot_time late_end = now + settings.max_order_delay + milliseconds(10'300 + 200);
  SECTION("that ended before it was known") {
    lease.HandleNoReply(settings, now, false);
    CHECK(lease.bound() == now + milliseconds(6380));
    lease.HandleRestart(settings);
    CHECK(lease.bound() == late_end);
  }
  SECTION("that ended after it was known") {
    lease.HandleRestart(settings);
    CHECK(lease.bound() == now + milliseconds(6380));
    lease.HandleNoReply(settings, now, true);
    CHECK(lease.bound() == late_end);
  }
}

// Guards against a run that outlasts the bound, for each order of grants, lost replies, late orders and
// restarts, on clocks 2% slow and fast.
TEST_CASE("the lease of a worker ends within its bound", "[pool][property]") {
  const auto number = rc::gen::inRange(0, 1000);
  const bool holds = rc::check("the lease of a worker ends within its bound", [&] {
    const double rate = *rc::gen::element(0.98, 1.0, 1.02);
    const milliseconds max_lease = *rc::gen::element(milliseconds(6000), milliseconds(10'000));
    lease_model model(rate, max_lease);
    for (const auto& [kind, first, second] : *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
             rc::gen::tuple(number, number, number))) {
      model.Step(kind, first, second);
      RC_ASSERT(model.IsBounded());
    }
  });
  CHECK(holds);
}

}  // namespace hickorystall::tests
