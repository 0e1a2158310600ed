#include "state/pool/placement/run_outlook.h"

#include <algorithm>

namespace hickorystall::state::pool {

using learning::speed_class;
using std::chrono::milliseconds;

namespace {

// A run that has made no progress for this long, although its worker replies, is stalled. Progress is
// reported in whole percent; the longest tasks advance by one percent in 0.4 s, and in 2.3 s on a slowed
// worker.
constexpr milliseconds kStallTimeout{3000};

// Expected times of one percent without progress after which a run on a worker of the slow class is stalled,
// if that is longer than `kStallTimeout`. A slowed worker takes 2.3 s instead of 0.4 s, and the declared
// times of long tasks may be too short by a third.
constexpr int kStalledPercent = 8;

bool HasOtherSpeed(const pool_state& state, const worker_entry& worker) {
  return state.settings().learn_speeds && worker.speed.grade != speed_class::kNormal;
}

}  // namespace

milliseconds ExpectedTimeOn(const pool_state& state, const job_entry& job, const step_request& step,
                            const worker_entry& worker) {
  return HasOtherSpeed(state, worker) ? state.ExpectedTime(job, step, worker) : state.ExpectedTime(job, step);
}

milliseconds RemainingTime(const pool_state& state, const run_view& run, const unit_member& member,
                           boot_time now) {
  const milliseconds ran = now - run.unit->started_at;
  // Below this progress the rate is too inaccurate to extrapolate.
  constexpr int kMinPercent = 5;
  if (member.percent < kMinPercent)
    return std::max(milliseconds(0), ExpectedTimeOn(state, *run.job, *run.step, *member.host) - ran);
  return ran * (100 - member.percent) / member.percent;
}

milliseconds TimeToEnd(const pool_state& state, const run_view& run, const unit_member& member,
                       boot_time now) {
  milliseconds longest = RemainingTime(state, run, member, now);
  const auto& members = run.unit->members;
  const bool differs = std::any_of(members.begin(), members.end(), [&state](const unit_member& other) {
    return other.host != nullptr && HasOtherSpeed(state, *other.host);
  });
  if (!differs) return longest;
  for (const unit_member& other : members) {
    if (other.phase != run_phase::kIdle) longest = std::max(longest, RemainingTime(state, run, other, now));
  }
  return longest;
}

milliseconds StallTimeout(const pool_state& state, const run_view& run, const worker_entry& worker) {
  if (!state.settings().learn_speeds || worker.speed.grade != speed_class::kSlow) return kStallTimeout;
  const milliseconds expected = ExpectedTimeOn(state, *run.job, *run.step, worker);
  return std::max(kStallTimeout, kStalledPercent * expected / 100);
}

}  // namespace hickorystall::state::pool
