#include "state/pool/pool_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "state/pool/preemption.h"
#include "state/pool/unit_placement.h"
#include "state/pool/unit_queue.h"

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

namespace {

// A run that has made no progress for this long, although its worker replies, is stalled. Progress is
// reported in whole percent; the longest tasks advance by one percent in 0.4 s, and in 2.3 s on a slowed
// worker.
constexpr milliseconds kStallTimeout{3000};

// Maximum time that a unit waits only because of the headroom. A job must not be without any running task for
// 3 s while twice the capacity that it needs is free.
constexpr milliseconds kMaxHeadroomWait{2500};

// Makes one plan; used for a single call of `Run`.
class planning_pass {
 public:
  planning_pass(const pool_state& state, boot_time now, unix_time wall_now)
      : state_(state), now_(now), wall_now_(wall_now) {
    for (const auto& [id, worker] : state.workers()) {
      if (!worker.IsUsable(now)) continue;
      slot_of_[&worker] = static_cast<int>(free_.size());
      free_.push_back({&worker, worker.Free()});
    }
    free_after_stops_ = free_;
    index_ = MakeRackIndex(free_);
    within_guarantee_ = WorkspacesWithinGuarantee(state);
    for (const worker_slot& slot : free_) {
      total_ += slot.worker->registration.capacity;
      total_free_ += slot.free;
    }
    CollectUnits();
  }

  pool_plan Run() {
    StopLeavingAndStalledUnits();
    for (const waiting_step& step : MakeStepQueue(state_, within_guarantee_, now_, wall_now_)) {
      for (std::size_t i = 0; i < step.units.size(); ++i) {
        if (TryPlace(step, step.units[i])) continue;
        // Units of a step are identical, so if one cannot be placed, neither can the others.
        plan_.waiting += static_cast<int>(step.units.size() - i);
        break;
      }
    }
    return std::move(plan_);
  }

 private:
  struct running_unit {
    const job_entry* job;
    int occurrence;
    int number;
    int index;
    const step_request* step;
    const work_unit* unit;
    int priority;

    unit_position Position() const { return {job->submission.id, occurrence, number, index}; }
  };

  // Adds the capacity of runs that are being stopped to `free_after_stops_`, and collects the other active
  // units.
  void CollectUnits() {
    for (const auto& [id, job] : state_.open_jobs()) {
      const int priority = QueuePriority(state_, *job);
      for (const auto& [number, occurrence] : job->occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
          const auto& units = occurrence.steps[step].units;
          for (std::size_t unit = 0; unit < units.size(); ++unit) {
            if (units[unit].IsIdle()) continue;
            CollectUnit({job, number, static_cast<int>(step), static_cast<int>(unit),
                         &job->submission.request.steps[step], &units[unit], priority});
          }
        }
      }
    }
  }

  void CollectUnit(const running_unit& entry) {
    bool stopping = entry.unit->done;
    for (const unit_member& member : entry.unit->members) {
      if (member.phase != run_phase::kStopping && !(entry.unit->done && member.phase != run_phase::kIdle))
        continue;
      stopping = true;
      const auto slot = slot_of_.find(member.host);
      if (slot != slot_of_.end()) free_after_stops_[slot->second].free += entry.step->need;
    }
    if (!stopping) running_.push_back(entry);
  }

  // Stops units that cannot end before their worker leaves, and units that are stalled.
  void StopLeavingAndStalledUnits() {
    for (const running_unit& entry : running_) {
      planned_stop stop;
      for (const unit_member& member : entry.unit->members) {
        if (member.phase == run_phase::kIdle) continue;
        const worker_entry& worker = *member.host;
        if (MustLeave(entry, member, worker)) stop.reason = "worker leaves before the run ends";
        if (!IsStalled(member, worker)) continue;
        stop.reason = "no progress beyond percent=" + std::to_string(member.percent);
        stop.stalled_on.push_back(member.worker);
      }
      if (stop.reason.empty()) continue;
      stop.position = entry.Position();
      plan_.stops.push_back(std::move(stop));
      stopped_.insert(entry.unit);
    }
  }

  bool MustLeave(const running_unit& entry, const unit_member& member, const worker_entry& worker) const {
    if (!worker.registration.draining || !worker.leaves_at) return false;
    return now_ + RemainingTime(entry, member) > *worker.leaves_at;
  }

  bool IsStalled(const unit_member& member, const worker_entry& worker) const {
    // A gang member at 100 percent waits for the other members.
    return member.phase == run_phase::kRunning && worker.reachable && member.percent < 100 &&
           worker.clock_read_at - member.progress_at > kStallTimeout;
  }

  milliseconds RemainingTime(const running_unit& entry, const unit_member& member) const {
    const milliseconds ran = now_ - entry.unit->started_at;
    // Below this progress the rate is too inaccurate to extrapolate.
    constexpr int kMinPercent = 5;
    if (member.percent < kMinPercent)
      return std::max(milliseconds(0), state_.ExpectedTime(*entry.job, *entry.step) - ran);
    return ran * (100 - member.percent) / member.percent;
  }

  unit_shape MakeShape(const waiting_step& entry, const work_unit& unit) const {
    unit_shape shape;
    shape.step = entry.request;
    shape.service = ServiceOf(*entry.job);
    shape.members = static_cast<int>(unit.members.size());
    shape.avoided = unit.failed_on;
    if (entry.request->max_per_worker == 0) return shape;
    for (const work_unit& other : entry.progress->units) {
      for (const unit_member& member : other.members) {
        if (member.phase != run_phase::kIdle) ++shape.already_on[member.worker];
      }
    }
    for (const auto& [step, worker] : placed_members_) {
      if (step == entry.progress) ++shape.already_on[worker];
    }
    return shape;
  }

  std::string_view ServiceOf(const job_entry& job) const {
    const queue_rules* rules = state_.RulesOf(job);
    return rules == nullptr ? job.submission.service : rules->service;
  }

  // Units of lower priority than 0 leave some capacity free, so that units of priority 0 start without
  // waiting for a stop. They may use all of it once their job has little slack.
  bool MayUseHeadroom(const waiting_step& entry, const work_unit& unit) const {
    if (entry.priority == 0 || entry.has_little_slack) return true;
    if (now_ - unit.ready_at >= kMaxHeadroomWait && !entry.job->HasActiveUnits()) return true;
    const double headroom = state_.settings().headroom;
    const auto leaves_headroom = [headroom](std::int64_t free, std::int64_t need, std::int64_t total) {
      return static_cast<double>(free - need) >= headroom * static_cast<double>(total);
    };
    const resources& need = entry.request->need;
    const auto members = static_cast<std::int64_t>(unit.members.size());
    return leaves_headroom(total_free_.accelerators, need.accelerators * members, total_.accelerators) &&
           leaves_headroom(total_free_.cpu_millis, need.cpu_millis * members, total_.cpu_millis);
  }

  // Starts the unit `number` of `entry`, or reserves capacity for it that becomes free after stops. Returns
  // false if neither is possible.
  bool TryPlace(const waiting_step& entry, int number) {
    const work_unit& unit = entry.progress->units[number];
    if (!MayUseHeadroom(entry, unit)) {
      const std::int64_t need =
          entry.request->need.accelerators * static_cast<std::int64_t>(unit.members.size());
      const bool has_room = total_free_.accelerators > 0 && total_free_.accelerators >= need;
      plan_.unplaced.push_back(
          {entry.Position(number), has_room ? wait_cause::kHeadroom : wait_cause::kNoCapacity});
      return false;
    }
    const unit_shape shape = MakeShape(entry, unit);
    const placement_reach reach = ChooseReach(entry, unit, shape);
    if (const auto places = PlaceUnit(free_, index_, shape, reach)) {
      Start(entry, number, *places, reach);
      return true;
    }
    if (const auto places = PlaceUnit(free_after_stops_, index_, shape, reach)) {
      Reserve(*entry.request, *places);
      plan_.unplaced.push_back({entry.Position(number), wait_cause::kCapacityReserved});
      return true;
    }
    const bool preempts =
        entry.priority == 0 && entry.outlook != deadline_outlook::kMissed && Preempt(entry, shape, reach);
    const wait_cause cause = preempts                          ? wait_cause::kCapacityReserved
                             : reach == placement_reach::kNear ? wait_cause::kNoNearCapacity
                                                               : wait_cause::kNoCapacity;
    plan_.unplaced.push_back({entry.Position(number), cause});
    return preempts;
  }

  // Returns whether the tasks of `step` are slower away from their data or spread over racks.
  static bool IsLocalitySensitive(const step_request& step) {
    return step.same_rack || !step.data_rack.empty();
  }

  // A remote placement is allowed if a near one is impossible even on empty workers, or once the unit has
  // waited longer than the extra time that a remote run takes.
  placement_reach ChooseReach(const waiting_step& entry, const work_unit& unit,
                              const unit_shape& shape) const {
    if (!IsLocalitySensitive(*entry.request)) return placement_reach::kAnywhere;
    if (!FitsNearWhenEmpty(free_, index_, shape)) return placement_reach::kAnywhere;
    const auto waited = now_ - unit.ready_at;
    const auto extra_time = static_cast<double>(state_.ExpectedTime(*entry.job, *entry.request).count()) *
                            (state_.settings().remote_run_factor - 1.0);
    return static_cast<double>(waited.count()) > extra_time ? placement_reach::kAnywhere
                                                            : placement_reach::kNear;
  }

  void Start(const waiting_step& entry, int number, const std::vector<int>& places, placement_reach reach) {
    planned_start start{entry.Position(number),
                        {},
                        reach == placement_reach::kAnywhere && IsLocalitySensitive(*entry.request)};
    for (const int place : places) {
      start.workers.push_back(free_[place].worker->registration.id);
      if (entry.request->max_per_worker > 0)
        placed_members_.emplace_back(entry.progress, start.workers.back());
      free_[place].free -= entry.request->need;
      total_free_ -= entry.request->need;
      free_after_stops_[place].free -= entry.request->need;
    }
    plan_.starts.push_back(std::move(start));
  }

  void Reserve(const step_request& step, const std::vector<int>& places) {
    for (const int place : places) {
      free_after_stops_[place].free -= step.need;
      // Keeps what is free now for the unit. Runs that are being stopped may still hold part of the reserved
      // capacity.
      resources& free = free_[place].free;
      free.cpu_millis =
          std::min(free.cpu_millis, std::max<std::int64_t>(0, free_after_stops_[place].free.cpu_millis));
      free.memory_mib =
          std::min(free.memory_mib, std::max<std::int64_t>(0, free_after_stops_[place].free.memory_mib));
      free.accelerators =
          std::min(free.accelerators, std::max<std::int64_t>(0, free_after_stops_[place].free.accelerators));
    }
  }

  bool IsVictim(const running_unit& running, const waiting_step& entry) const {
    if (running.job == entry.job || stopped_.contains(running.unit)) return false;
    if (running.priority > entry.priority) return true;
    return entry.is_guaranteed && !within_guarantee_.contains(running.job->submission.workspace);
  }

  // Lists all running units as candidates; their indices are those of `running_`.
  const preemption_candidates& Candidates() {
    if (candidates_) return *candidates_;
    candidates_.emplace();
    candidates_->victims.reserve(running_.size());
    for (const running_unit& running : running_) {
      preemption_victim victim{running.step, {}, LostWork(*running.step, *running.unit, now_)};
      for (const unit_member& member : running.unit->members) {
        const auto slot = slot_of_.find(member.host);
        if (member.phase != run_phase::kIdle && slot != slot_of_.end()) victim.slots.push_back(slot->second);
      }
      candidates_->victims.push_back(std::move(victim));
    }
    candidates_->IndexBySlot();
    return *candidates_;
  }

  // Returns the work of a unit of `entry`, in core-seconds.
  double ExpectedWork(const waiting_step& entry, const unit_shape& shape) const {
    const std::chrono::duration<double> time = state_.ExpectedTime(*entry.job, *entry.request);
    return WeightedCores(entry.request->need) * time.count() * shape.members;
  }

  bool Preempt(const waiting_step& entry, const unit_shape& shape, placement_reach reach) {
    const preemption_candidates& candidates = Candidates();
    const auto is_allowed = [&](int victim) { return IsVictim(running_[victim], entry); };
    std::optional<preemption_choice> choice =
        ChoosePreemption(free_after_stops_, index_, shape, candidates, is_allowed, reach);
    if (!choice && entry.is_guaranteed) {
      choice = ChoosePreemption(free_after_stops_, index_, shape, candidates, is_allowed,
                                placement_reach::kAnywhere);
    }
    if (!choice) return false;
    const double own_work = ExpectedWork(entry, shape);
    for (const int index : choice->victims) {
      const preemption_victim& victim = candidates.victims[index];
      planned_stop stop;
      stop.position = running_[index].Position();
      stop.reason = "preempted by " + entry.job->submission.id +
                    " lost_core_s=" + std::to_string(std::lround(victim.lost_work)) +
                    " own_core_s=" + std::to_string(std::lround(own_work));
      stop.is_preemption = true;
      plan_.stops.push_back(std::move(stop));
      stopped_.insert(running_[index].unit);
      for (const int slot : victim.slots) free_after_stops_[slot].free += victim.step->need;
    }
    Reserve(*entry.request, choice->places);
    return true;
  }

  const pool_state& state_;
  const boot_time now_;
  const unix_time wall_now_;
  // Slot index by worker; usable workers only.
  std::unordered_map<const worker_entry*, int> slot_of_;
  std::set<std::string> within_guarantee_;
  // Capacity that is free now, and that is free once all runs being stopped have ended.
  capacity_slots free_;
  capacity_slots free_after_stops_;
  rack_index index_;
  // Total capacity of all usable workers, and the free part of it.
  resources total_;
  resources total_free_;
  // Active units that are not being stopped.
  std::vector<running_unit> running_;
  // Units that this pass has decided to stop.
  std::unordered_set<const work_unit*> stopped_;
  // Step and worker of each member that this pass starts, for the limit of tasks per worker.
  std::vector<std::pair<const step_progress*, std::string>> placed_members_;
  // Empty until the first unit needs a preemption.
  std::optional<preemption_candidates> candidates_;
  pool_plan plan_;
};

}  // namespace

pool_plan PlanPool(const pool_state& state, boot_time now, unix_time wall_now) {
  return planning_pass(state, now, wall_now).Run();
}

void ApplyPlan(const pool_plan& plan, pool_state& state, boot_time now) {
  for (const planned_stop& stop : plan.stops) {
    state.StopUnit(stop.position, stop.reason);
    if (stop.is_preemption) state.CountPreemption(stop.position);
    for (const std::string& worker : stop.stalled_on) state.AvoidWorker(worker, "stalled", now);
  }
  for (const planned_start& start : plan.starts)
    state.StartUnit(start.position, start.workers, now, start.is_remote);
}

}  // namespace hickorystall::state::pool
