#include "state/scheduling/decision_pass.h"

#include <algorithm>
#include <array>
#include <cassert>

#include "state/scheduling/run_time_estimate.h"
#include "state/text.h"

namespace hickorystall::state {
namespace {

/// Minimum waiting time that a move must save. A moved job loses the second of its checkpoint and must start
/// again.
constexpr std::chrono::milliseconds kMinWaitSaved{60000};
/// Waiting time after which a large job precedes all jobs but the urgent and the guaranteed ones.
constexpr std::chrono::milliseconds kWaitBeforePriority{600000};
/// Minimum run time of a job that is moved. The second that a checkpoint takes is then less than 2% of the
/// run.
constexpr std::chrono::milliseconds kMinRunBeforeMove{60000};
/// Times that a move may wait for other jobs in its place to end by themselves. They are tried in this order,
/// and the first that gives a place is used.
constexpr std::array<std::chrono::milliseconds, 4> kMoveWaits{
    {std::chrono::seconds(0), std::chrono::minutes(1), std::chrono::minutes(5), std::chrono::minutes(20)}};

/// True for a job that a stream of small jobs could starve, because it needs much capacity in one place.
bool IsLarge(const job_spec& spec) { return spec.members > 1 || spec.accelerators >= 4; }

/// True when every place for `b` contains a place for `a` under the same constraints.
bool NeedsNoMoreThan(const queued_job& a, const queued_job& b) {
  const job_spec& x = a.job->spec;
  const job_spec& y = b.job->spec;
  return x.members <= y.members && x.accelerators <= y.accelerators && x.processors <= y.processors &&
         x.memory_mib <= y.memory_mib && (x.placement == y.placement || x.placement == adjacency::kNone);
}

}  // namespace

decision_pass::decision_pass(const scheduling_policy& policy, const scheduling_snapshot& snapshot,
                             wall_time now)
    : policy_(policy),

      now_(now),
      state_(policy, snapshot, now),
      feasibility_(*snapshot.config, state_.topology()) {
  if (!policy_.guarantees) return;
  plan_ = PlanGuarantees(state_.ledger(), state_.free_after_reclaim());
}

scheduling_decision decision_pass::Run() {
  std::vector<queued_job> others;
  for (queued_job entry : state_.MakeQueue()) {
    // Earlier jobs in the queue may have used up the guarantee.
    entry.guaranteed = entry.guaranteed && state_.ledger().Covers(entry.workspace, entry.job->spec);
    if (entry.guaranteed) {
      Consider(entry);
    } else {
      others.push_back(entry);
    }
  }
  policy_.order(others, now_);
  MoveOldestLargeJobsForward(others);
  for (const queued_job& entry : others) Consider(entry);
  return std::move(decision_);
}

void decision_pass::MoveOldestLargeJobsForward(std::vector<queued_job>& queue) const {
  if (policy_.reservations == 0) return;
  std::vector<queued_job> large_jobs;
  for (const queued_job& entry : queue) {
    if (IsLarge(entry.job->spec) && !entry.job->spec.urgent && ExplainIneligible(entry).empty() &&
        now_ - entry.job->submitted_at >= kWaitBeforePriority)
      large_jobs.push_back(entry);
  }
  OrderByAge(large_jobs, now_);
  const std::size_t count = std::min(large_jobs.size(), static_cast<std::size_t>(policy_.reservations));
  const auto rank = [&](const queued_job& entry) -> std::size_t {
    if (entry.job->spec.urgent) return 0;
    for (std::size_t i = 0; i < count; ++i) {
      if (large_jobs[i].job == entry.job) return 1 + i;
    }
    return 1 + count;
  };
  std::stable_sort(queue.begin(), queue.end(),
                   [&](const queued_job& a, const queued_job& b) { return rank(a) < rank(b); });
}

void decision_pass::Consider(const queued_job& entry) {
  const std::string& id = entry.job->id;
  if (std::string why = ExplainIneligible(entry); !why.empty()) {
    decision_.waiting[id] = std::move(why);
    return;
  }
  if (TryRefuse(entry)) return;
  if (policy_.strict_order && blocked_) {
    decision_.waiting[id] = "an earlier job waits for capacity";
    return;
  }
  if (TryStart(entry) || TryReclaim(entry)) return;
  blocked_ = true;
  if (decision_.waiting.try_emplace(id, "not enough workers are free").second) TryReserve(entry);
}

std::string decision_pass::ExplainIneligible(const queued_job& entry) const {
  if (entry.workspace < 0) return "its workspace is not in the configuration";
  if (!state_.IsWithinQuota(entry)) return "its workspace uses its max_accelerators";
  return "";
}

bool decision_pass::IsReclaimable(const queued_job& entry) const {
  return policy_.guarantees && entry.job->spec.may_wait && !entry.guaranteed;
}

const capacity_view& decision_pass::Restrict(const capacity_view& view, const queued_job& entry,
                                             std::optional<capacity_view>& copy) const {
  const auto conflicts = [&](const reservation& other) { return now_ + entry.remaining > other.start; };
  const bool reserved = std::any_of(reservations_.begin(), reservations_.end(), conflicts);
  const bool planned = !IsReclaimable(entry) && !state_.empty_cluster_plan().shapes.empty();
  if (!reserved && !planned) return view;
  copy = view;
  if (planned) {
    capacity_view beside = state_.available_to_guarantees();
    state_.empty_cluster_plan().AllocateIn(beside, entry.guaranteed ? entry.workspace : -1);
    copy->IntersectWith(beside);
  }
  for (const reservation& other : reservations_) {
    if (conflicts(other)) copy->Allocate(other.places, other.spec);
  }
  return *copy;
}

bool decision_pass::IsKnownNotToFit(const queued_job& entry) const {
  return std::any_of(unplaced_.begin(), unplaced_.end(), [&](const queued_job& other) {
    return other.guaranteed == entry.guaranteed &&
           (!entry.guaranteed || other.workspace == entry.workspace) &&
           IsReclaimable(other) == IsReclaimable(entry) && other.remaining <= entry.remaining &&
           NeedsNoMoreThan(other, entry);
  });
}

std::optional<assignment> decision_pass::FindPlace(const capacity_view& view, const queued_job& entry) const {
  const job_spec& spec = entry.job->spec;
  std::optional<capacity_view> copy;
  std::optional<assignment> places = FindPlacement(Restrict(view, entry, copy), spec, *policy_.placement);
  if (places && (IsReclaimable(entry) || KeepsGuarantees(entry, *places))) return places;
  if (!entry.guaranteed) return std::nullopt;
  // A place within the workspace's own planned places leaves the other planned shapes as they are. The places
  // of single shapes are tried before those of all shapes together.
  for (const assignment& own : plan_.PlacesOf(entry.workspace)) {
    copy = view;
    copy->KeepOnly(own);
    places = FindPlacement(*copy, spec, kFirstFit);
    if (places && KeepsGuarantees(entry, *places)) return places;
  }
  const assignment* planned = plan_.FindExactPlace(entry.workspace, spec);
  if (planned != nullptr && view.Allows(*planned, spec)) return *planned;
  return std::nullopt;
}

void decision_pass::Start(const queued_job& entry, const assignment& places) {
  Allocate(entry, places);
  decision_.commands.push_back({command_kind::kStart, entry.job->id, ToPlacement(state_.topology(), places),
                                entry.guaranteed ? "its guarantee is free" : "capacity is free"});
}

bool decision_pass::TryStart(const queued_job& entry) {
  if (!entry.guaranteed && IsKnownNotToFit(entry)) return false;
  const std::optional<assignment> places = FindPlace(state_.free(), entry);
  if (places) {
    Start(entry, *places);
  } else {
    unplaced_.push_back(entry);
  }
  return places.has_value();
}

std::optional<reclaim_choice> decision_pass::ChooseReclaimFor(const queued_job& entry) const {
  std::optional<capacity_view> copy;
  capacity_view target = Restrict(state_.free_after_reclaim(), entry, copy);
  std::optional<reclaim_choice> choice = ChooseReclaim(state_, MakeReclaimRequest(entry, target));
  if (choice && (IsReclaimable(entry) || KeepsGuarantees(entry, choice->places))) return choice;
  if (!entry.guaranteed) return std::nullopt;
  std::vector<assignment> within = plan_.PlacesOf(entry.workspace);
  if (const assignment* exact = plan_.FindExactPlace(entry.workspace, entry.job->spec))
    within.push_back(*exact);
  for (const assignment& places : within) {
    target = state_.free_after_reclaim();
    target.KeepOnly(places);
    std::optional<reclaim_choice> other = ChooseReclaim(state_, MakeReclaimRequest(entry, target));
    if (other && KeepsGuarantees(entry, other->places)) return other;
  }
  return choice;
}

bool decision_pass::TryReclaim(const queued_job& entry) {
  if (!policy_.guarantees || (!entry.guaranteed && !(policy_.reclaim_for_urgent && entry.job->spec.urgent))) {
    return false;
  }
  std::optional<assignment> places = FindPlace(state_.free_after_release(), entry);
  if (!places) {
    const std::optional<reclaim_choice> choice = ChooseReclaimFor(entry);
    if (!choice) return false;
    if (choice->victims.empty() && state_.free().Allows(choice->places, entry.job->spec)) {
      Start(entry, choice->places);
      return true;
    }
    const std::string reason =
        StrCat("reclaimed for ", entry.guaranteed ? "guaranteed" : "urgent", " job ", entry.job->id);
    for (int index : choice->victims) Reclaim(index, reason);
    places = choice->places;
  }
  Allocate(entry, *places);
  decision_.waiting[entry.job->id] = "waits for workers that are being reclaimed";
  return true;
}

reclaim_request decision_pass::MakeReclaimRequest(const queued_job& entry, capacity_view& target) const {
  reclaim_request request{&entry.job->spec, &target, {}};
  for (const allocation& other : state_.allocations()) {
    const bool excluded = !entry.guaranteed && other.job->spec.urgent;
    request.eligible.push_back(other.reclaimable && !other.releasing && !excluded);
    if (other.reclaimable && !other.releasing && excluded) target.Allocate(other.places, other.job->spec);
  }
  return request;
}

bool decision_pass::KeepsGuarantees(const queued_job& entry, const assignment& places) const {
  if (!policy_.guarantees || !plan_.SharesWorkers(places)) return true;
  guarantee_ledger ledger = state_.ledger();
  capacity_view free_after_reclaim = state_.free_after_reclaim();
  if (entry.guaranteed) ledger.Consume(entry.workspace, entry.job->spec);
  free_after_reclaim.Allocate(places, entry.job->spec);
  return PlanGuarantees(ledger, free_after_reclaim).missing <= plan_.missing;
}

void decision_pass::Allocate(const queued_job& entry, const assignment& places) {
  const bool reclaimable = IsReclaimable(entry);
  const bool in_guarantee = state_.Allocate(entry, places, reclaimable);
  if (!policy_.guarantees || reclaimable) return;
  if (in_guarantee || plan_.SharesWorkers(places))
    plan_ = PlanGuarantees(state_.ledger(), state_.free_after_reclaim());
}

void decision_pass::Reclaim(int index, const std::string& reason) {
  state_.Reclaim(index);
  decision_.commands.push_back({command_kind::kReclaim, state_.allocations()[index].job->id, {}, reason});
}

bool decision_pass::IsKnownPossible(const queued_job& entry) const {
  return std::any_of(known_possible_.begin(), known_possible_.end(), [&](const queued_job& other) {
    return other.workspace == entry.workspace && other.job->spec.may_wait == entry.job->spec.may_wait &&
           other.job->spec.placement == entry.job->spec.placement && NeedsNoMoreThan(entry, other);
  });
}

bool decision_pass::TryRefuse(const queued_job& entry) {
  const job_record& job = *entry.job;
  std::string why;
  if (policy_.refuse_late && job.attempt == 0 && job.spec.deadline.count() > 0 &&
      now_ + entry.remaining > job.submitted_at + job.spec.deadline) {
    why = "it can no longer meet its deadline";
  } else if (!IsKnownPossible(entry)) {
    why = feasibility_.Explain(entry.workspace, job.spec);
    if (why.empty()) known_possible_.push_back(entry);
  }
  if (why.empty()) return false;
  decision_.commands.push_back({command_kind::kRefuse, job.id, {}, std::move(why)});
  return true;
}

void decision_pass::TryReserve(const queued_job& entry) {
  if (!IsLarge(entry.job->spec)) return;
  if (static_cast<int>(reservations_.size()) >= policy_.reservations) return;
  std::optional<capacity_view> copy;
  const auto reserved = ReserveEarliest(state_, entry, *policy_.placement,
                                        Restrict(state_.free_after_release(), entry, copy), now_);
  if (!reserved) return;
  decision_.waiting[entry.job->id] =
      StrCat("reserved, expected to start in ", (reserved->start - now_).count() / 1000, " s");
  if (policy_.defragment && TryMove(entry, *reserved)) return;
  reservations_.push_back(*reserved);
}

bool decision_pass::TryMove(const queued_job& entry, const reservation& reserved) {
  if (!IsReclaimable(entry)) return false;
  for (const std::chrono::milliseconds max_wait : kMoveWaits) {
    if (reserved.start - now_ - max_wait < kMinWaitSaved) break;
    const auto choice = ChooseMove(entry, max_wait);
    // Move only when all victims fit elsewhere at once, so that each loses no more than the time of a
    // checkpoint.
    if (choice && !choice->victims.empty() && FitsElsewhere(entry, *choice)) {
      CommandMove(entry, *choice, "moved to make room for job ");
      return true;
    }
  }
  return false;
}

std::optional<reclaim_choice> decision_pass::ChooseMove(const queued_job& entry,
                                                        std::chrono::milliseconds max_wait) const {
  const double ratio = ResponseRatio(entry, now_);
  std::optional<capacity_view> copy;
  capacity_view target = Restrict(state_.free_after_release(), entry, copy);
  reclaim_request request{&entry.job->spec, &target, {}};
  for (const allocation& other : state_.allocations()) {
    const bool movable =
        other.reclaimable && !other.releasing && other.job->spec.may_checkpoint && !other.job->spec.urgent &&
        other.job->state == job_state::kRunning && now_ - other.job->started_at >= kMinRunBeforeMove &&
        // A job with a higher ratio would precede `entry` in the queue and take the place back.
        ResponseRatio({other.job, other.workspace, false, other.remaining}, now_) < ratio;
    const bool ends = !other.releasing && other.remaining <= max_wait;
    request.eligible.push_back(movable && !ends);
    if (movable || ends) target.Release(other.places, other.job->spec);
  }
  return ChooseReclaim(state_, request);
}

void decision_pass::CommandMove(const queued_job& entry, const reclaim_choice& choice,
                                std::string_view reason) {
  for (int index : choice.victims) Reclaim(index, StrCat(reason, entry.job->id));
  Allocate(entry, choice.places);
}

bool decision_pass::FitsElsewhere(const queued_job& entry, const reclaim_choice& choice) const {
  capacity_view after = state_.free();
  for (int index : choice.victims) {
    after.Release(state_.allocations()[index].places, state_.allocations()[index].job->spec);
  }
  after.Allocate(choice.places, entry.job->spec);
  return std::all_of(choice.victims.begin(), choice.victims.end(), [&](int index) {
    const job_spec& spec = state_.allocations()[index].job->spec;
    const auto elsewhere = FindPlacement(after, spec, *policy_.placement);
    if (elsewhere) after.Allocate(*elsewhere, spec);
    return elsewhere.has_value();
  });
}

}  // namespace hickorystall::state
