#include "state/pool/placement/early_move.h"

#include <algorithm>

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

namespace {

// Time from the decision to move a gang to its start on the other workers: the stops are sent and confirmed,
// then the start is stored and sent.
constexpr milliseconds kMoveTime{300};

// Progress below which the rate is too inaccurate to extrapolate, in percent.
constexpr int kMinPercent = 5;

using float_ms = std::chrono::duration<double, std::milli>;

// What is known of a gang on its workers.
struct gang_outlook {
  // Lowest speed of its workers.
  double slowest = 0.0;
  // Time that its longest member takes at speed 1, from its progress where it is known.
  float_ms work{0};
};

// Returns nullopt if not all members run.
std::optional<gang_outlook> AssessGang(const pool_state& state, const run_view& run) {
  gang_outlook outlook;
  for (const unit_member& member : run.unit->members) {
    if (member.phase != run_phase::kRunning) return std::nullopt;
    const double speed = PlacementSpeed(member.host->speed);
    outlook.slowest = outlook.slowest == 0.0 ? speed : std::min(outlook.slowest, speed);
    if (member.percent < kMinPercent || member.percent >= 100) continue;
    const float_ms ran = member.progress_at - run.unit->started_at;
    outlook.work = std::max(outlook.work, ran * speed * 100 / member.percent);
  }
  if (outlook.work <= float_ms(0)) outlook.work = state.ExpectedTime(*run.job, *run.step);
  return outlook;
}

}  // namespace

std::optional<speed_need> NeedForMove(const pool_state& state, const run_view& run, milliseconds passed,
                                      const speed_range& speeds, boot_time now) {
  const job_submission& submission = run.job->submission;
  if (!speeds.differs || run.unit->members.size() < 2 || run.unit->is_moved) return std::nullopt;
  if (submission.request.steps.size() > 1 || run.step->same_rack || !run.step->data_rack.empty())
    return std::nullopt;
  const std::optional<gang_outlook> outlook = AssessGang(state, run);
  if (!outlook || outlook->slowest >= 1.0) return std::nullopt;
  const float_ms objective = outlook->work * submission.stretch + submission.target_latency;
  const float_ms passed_at_start = passed - (now - run.unit->started_at);
  if (passed_at_start + outlook->work / outlook->slowest <= objective) return std::nullopt;
  unit_timing timing;
  timing.remaining_work = std::chrono::duration_cast<milliseconds>(outlook->work);
  timing.critical_path = timing.remaining_work;
  timing.objective = std::chrono::duration_cast<milliseconds>(objective);
  timing.passed = passed + kMoveTime;
  const speed_need need = NeededSpeed(timing, speeds);
  // A need that is met only without its margin is not worth the work that is lost.
  const bool is_in_time = need.is_urgent && need.lowest < speeds.highest;
  return is_in_time ? std::optional(need) : std::nullopt;
}

}  // namespace hickorystall::state::pool
