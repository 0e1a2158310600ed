#include "state/pool/pool_plan.h"

#include <algorithm>
#include <set>

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
      slot_of_[id] = static_cast<int>(free_.size());
      free_.push_back({&worker, worker.Free()});
    }
    free_after_stops_ = free_;
    for (const worker_slot& slot : free_) {
      total_ += slot.worker->registration.capacity;
      total_free_ += slot.free;
    }
    CollectUnits();
  }

  pool_plan Run() {
    StopLeavingAndStalledUnits();
    std::set<unit_position> unplaced_steps;
    for (const waiting_unit& unit : MakeUnitQueue(state_, now_, wall_now_)) {
      // Units of a step are identical, so if one cannot be placed, neither can the others.
      unit_position step = unit.position;
      step.unit = 0;
      if (unplaced_steps.contains(step)) {
        ++plan_.waiting;
        continue;
      }
      if (TryPlace(unit)) continue;
      ++plan_.waiting;
      unplaced_steps.insert(step);
    }
    return plan_;
  }

 private:
  struct running_unit {
    unit_position position;
    const job_entry* job;
    const step_request* step;
    const work_unit* unit;
    int priority;
  };

  // Adds the capacity of runs that are being stopped to `free_after_stops_`, and collects the other active
  // units.
  void CollectUnits() {
    for (const auto& [id, job] : state_.jobs()) {
      const int priority = QueuePriority(state_, job);
      for (const auto& [number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
          const auto& units = occurrence.steps[step].units;
          for (std::size_t unit = 0; unit < units.size(); ++unit) {
            if (units[unit].IsIdle()) continue;
            const running_unit entry{{id, number, static_cast<int>(step), static_cast<int>(unit)},
                                     &job,
                                     &job.submission.request.steps[step],
                                     &units[unit],
                                     priority};
            CollectUnit(entry);
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
      const auto slot = slot_of_.find(member.worker);
      if (slot != slot_of_.end()) free_after_stops_[slot->second].free += entry.step->need;
    }
    if (!stopping) running_.push_back(entry);
  }

  // Stops units that cannot end before their worker leaves, and units that are stalled.
  void StopLeavingAndStalledUnits() {
    for (const running_unit& entry : running_) {
      std::string reason;
      for (const unit_member& member : entry.unit->members) {
        if (member.phase == run_phase::kIdle) continue;
        const worker_entry& worker = state_.workers().at(member.worker);
        if (MustLeave(entry, member, worker)) reason = "worker leaves before the run ends";
        if (IsStalled(member, worker))
          reason = "no progress beyond percent=" + std::to_string(member.percent);
      }
      if (reason.empty()) continue;
      plan_.stops.push_back({entry.position, reason});
      stopped_.insert(entry.position);
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

  unit_shape MakeShape(const waiting_unit& entry) const {
    unit_shape shape;
    shape.step = entry.step;
    shape.service = ServiceOf(*entry.job);
    shape.members = static_cast<int>(entry.unit->members.size());
    shape.avoided = entry.unit->failed_on;
    if (entry.step->max_per_worker == 0) return shape;
    const auto& step = entry.job->occurrences.at(entry.position.occurrence).steps[entry.position.step];
    for (const work_unit& unit : step.units) {
      for (const unit_member& member : unit.members) {
        if (member.phase != run_phase::kIdle) ++shape.already_on[member.worker];
      }
    }
    for (const auto& [position, worker] : placed_members_) {
      if (position.job == entry.position.job && position.occurrence == entry.position.occurrence &&
          position.step == entry.position.step) {
        ++shape.already_on[worker];
      }
    }
    return shape;
  }

  std::string_view ServiceOf(const job_entry& job) const {
    const queue_rules* rules =
        state_.config() == nullptr ? nullptr : state_.config()->FindQueueByName(job.submission.queue);
    return rules == nullptr ? job.submission.service : rules->service;
  }

  // Units of lower priority than 0 leave some capacity free, so that units of priority 0 start without
  // waiting for a stop. They may use all of it once their job has little slack.
  bool MayUseHeadroom(const waiting_unit& entry) const {
    if (entry.priority == 0 || entry.has_little_slack) return true;
    if (now_ - entry.unit->ready_at >= kMaxHeadroomWait && !entry.job->HasActiveUnits()) return true;
    const double headroom = state_.settings().headroom;
    const auto leaves_headroom = [headroom](std::int64_t free, std::int64_t need, std::int64_t total) {
      return static_cast<double>(free - need) >= headroom * static_cast<double>(total);
    };
    const resources& need = entry.step->need;
    const auto members = static_cast<std::int64_t>(entry.unit->members.size());
    return leaves_headroom(total_free_.accelerators, need.accelerators * members, total_.accelerators) &&
           leaves_headroom(total_free_.cpu_millis, need.cpu_millis * members, total_.cpu_millis);
  }

  // Starts `entry`, or reserves capacity for it that becomes free after stops. Returns false if neither is
  // possible.
  bool TryPlace(const waiting_unit& entry) {
    if (!MayUseHeadroom(entry)) return false;
    const unit_shape shape = MakeShape(entry);
    const placement_reach reach = ChooseReach(entry, shape);
    if (const auto places = PlaceUnit(free_, shape, reach)) {
      Start(entry, *places, reach);
      return true;
    }
    if (const auto places = PlaceUnit(free_after_stops_, shape, reach)) {
      Reserve(*entry.step, *places);
      return true;
    }
    return entry.priority == 0 && entry.outlook != deadline_outlook::kMissed && Preempt(entry, shape, reach);
  }

  // Returns whether the tasks of `step` are slower away from their data or spread over racks.
  static bool IsLocalitySensitive(const step_request& step) {
    return step.same_rack || !step.data_rack.empty();
  }

  // A remote placement is allowed if a near one is impossible even on empty workers, or once the unit has
  // waited longer than the extra time that a remote run takes.
  placement_reach ChooseReach(const waiting_unit& entry, const unit_shape& shape) const {
    if (!IsLocalitySensitive(*entry.step)) return placement_reach::kAnywhere;
    if (!FitsNearWhenEmpty(free_, shape)) return placement_reach::kAnywhere;
    const auto waited = now_ - entry.unit->ready_at;
    const auto extra_time = static_cast<double>(state_.ExpectedTime(*entry.job, *entry.step).count()) *
                            (state_.settings().remote_run_factor - 1.0);
    return static_cast<double>(waited.count()) > extra_time ? placement_reach::kAnywhere
                                                            : placement_reach::kNear;
  }

  void Start(const waiting_unit& entry, const std::vector<int>& places, placement_reach reach) {
    planned_start start{
        entry.position, {}, reach == placement_reach::kAnywhere && IsLocalitySensitive(*entry.step)};
    for (const int place : places) {
      start.workers.push_back(free_[place].worker->registration.id);
      placed_members_.emplace_back(entry.position, start.workers.back());
      free_[place].free -= entry.step->need;
      total_free_ -= entry.step->need;
      free_after_stops_[place].free -= entry.step->need;
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

  bool IsVictim(const running_unit& running, const waiting_unit& entry) const {
    if (running.job == entry.job || stopped_.contains(running.position)) return false;
    if (running.priority > entry.priority) return true;
    if (!entry.is_guaranteed) return false;
    const std::set<std::string> within_guarantee = WorkspacesWithinGuarantee(state_);
    return !within_guarantee.contains(running.job->submission.workspace);
  }

  bool Preempt(const waiting_unit& entry, const unit_shape& shape, placement_reach reach) {
    std::vector<preemption_victim> victims;
    for (const running_unit& running : running_) {
      if (!IsVictim(running, entry)) continue;
      preemption_victim victim{
          running.position, running.step, {}, LostWork(*running.step, *running.unit, now_)};
      for (const unit_member& member : running.unit->members) {
        const auto slot = slot_of_.find(member.worker);
        if (member.phase != run_phase::kIdle && slot != slot_of_.end()) victim.slots.push_back(slot->second);
      }
      victims.push_back(std::move(victim));
    }
    std::optional<preemption_choice> choice = ChoosePreemption(free_after_stops_, shape, victims, reach);
    if (!choice && entry.is_guaranteed) {
      choice = ChoosePreemption(free_after_stops_, shape, victims, placement_reach::kAnywhere);
    }
    if (!choice) return false;
    for (const int index : choice->victims) {
      const preemption_victim& victim = victims[index];
      plan_.stops.push_back({victim.position, "preempted by " + entry.position.job});
      stopped_.insert(victim.position);
      for (const int slot : victim.slots) free_after_stops_[slot].free += victim.step->need;
    }
    Reserve(*entry.step, choice->places);
    return true;
  }

  const pool_state& state_;
  const boot_time now_;
  const unix_time wall_now_;
  // Slot index by worker id; usable workers only.
  std::map<std::string, int> slot_of_;
  // Capacity that is free now, and that is free once all runs being stopped have ended.
  capacity_slots free_;
  capacity_slots free_after_stops_;
  // Total capacity of all usable workers, and the free part of it.
  resources total_;
  resources total_free_;
  // Active units that are not being stopped.
  std::vector<running_unit> running_;
  // Units that this pass has decided to stop.
  std::set<unit_position> stopped_;
  // Unit and worker of each member that this pass starts, for the limit of tasks per worker.
  std::vector<std::pair<unit_position, std::string>> placed_members_;
  pool_plan plan_;
};

}  // namespace

pool_plan PlanPool(const pool_state& state, boot_time now, unix_time wall_now) {
  return planning_pass(state, now, wall_now).Run();
}

}  // namespace hickorystall::state::pool
