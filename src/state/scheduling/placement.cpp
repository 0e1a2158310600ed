#include "state/scheduling/placement.h"

#include <algorithm>
#include <bit>

namespace hickorystall::state {
namespace {

/// A worker that has room for members.
struct candidate {
  /// Score by the strategy; the lowest is used first.
  std::int64_t score = 0;
  /// Worker index.
  int worker = 0;
  /// Number of members that fit.
  int fit = 0;

  friend bool operator<(const candidate& a, const candidate& b) {
    return a.score != b.score ? a.score < b.score : a.worker < b.worker;
  }
};

std::int64_t NoPreference(const capacity_view& /*view*/, int /*worker*/, const job_spec& /*spec*/) {
  return 0;
}

std::int64_t FewestFree(const capacity_view& view, int worker, const job_spec& /*spec*/) {
  return std::popcount(view.at(worker).accelerators);
}

/// Scores by, in this order: consecutive failures, whether the whole worker is free, free accelerators in the
/// rack, how much the longest run shrinks, and accelerators left on the worker. Whole workers and racks thus
/// stay free for gangs. A task without accelerators uses the worker with the fewest free accelerators, so
/// that few of them lack processors.
std::int64_t FragmentationScore(const capacity_view& view, int worker, const job_spec& spec) {
  const worker_capacity& free = view.at(worker);
  if (spec.accelerators == 0 && free.failures == 0) return std::popcount(free.accelerators);
  const std::uint64_t run = FindRun(free.accelerators, spec.accelerators);
  const std::int64_t lost = LongestRun(free.accelerators) - LongestRun(free.accelerators & ~run);
  const std::int64_t left = std::popcount(free.accelerators) - spec.accelerators;
  const std::int64_t failures = std::min(free.failures, 15);
  const bool whole = std::popcount(free.accelerators) == view.topology().workers()[worker].vm->accelerators;
  const std::int64_t opens_worker = whole && left + spec.accelerators > 0 ? 1 : 0;
  return (((failures * 2 + opens_worker) << 20) + view.FreeInRackOf(worker)) * 16384 + lost * 128 + left;
}

std::int64_t AnyScope(int /*spare*/) { return 0; }
std::int64_t TightestScope(int spare) { return spare; }

/// Collects the workers of `scope` with room for `spec`; returns the number of members that fit on all of
/// them.
int CollectCandidates(const capacity_view& view, const job_spec& spec, const std::vector<int>& scope,
                      bool take_first, std::vector<candidate>& out) {
  out.clear();
  int total = 0;
  for (int worker : scope) {
    const int fit = view.MembersThatFit(worker, spec, kMaxAcceleratorsPerWorker);
    if (fit == 0) continue;
    out.push_back({0, worker, fit});
    total += fit;
    if (take_first && total >= spec.members) break;
  }
  return total;
}

/// Appends up to `count` members on one worker, each on its own run of accelerators.
void FillWorker(const capacity_view& view, const job_spec& spec, const candidate& place, int count,
                assignment& out) {
  std::uint64_t free = view.at(place.worker).accelerators;
  for (int i = 0; i < std::min(count, place.fit); ++i) {
    const std::uint64_t run = FindRun(free, spec.accelerators);
    free &= ~run;
    out.push_back({place.worker, run});
  }
}

/// Distributes the members over `candidates`, which must have room for all of them.
assignment Fill(const capacity_view& view, const job_spec& spec, const placement_strategy& strategy,
                std::vector<candidate>& candidates) {
  for (candidate& place : candidates) place.score = strategy.score_worker(view, place.worker, spec);
  assignment result;
  if (spec.members == 1) {
    FillWorker(view, spec, *std::min_element(candidates.begin(), candidates.end()), 1, result);
    return result;
  }
  std::sort(candidates.begin(), candidates.end());
  for (const candidate& place : candidates) {
    const int missing = spec.members - static_cast<int>(result.size());
    if (missing == 0) break;
    FillWorker(view, spec, place, missing, result);
  }
  return result;
}

}  // namespace

const placement_strategy kFirstFit{NoPreference, AnyScope, true};
const placement_strategy kBestFit{FewestFree, TightestScope, false};
const placement_strategy kLeastFragmentation{FragmentationScore, TightestScope, false};

std::optional<assignment> FindPlacement(const capacity_view& view, const job_spec& spec,
                                        const placement_strategy& strategy) {
  std::vector<candidate> candidates;
  std::vector<candidate> best;
  std::int64_t best_score = 0;
  for (const std::vector<int>& scope : view.topology().scopes(spec.placement)) {
    const int spare = CollectCandidates(view, spec, scope, strategy.take_first, candidates) - spec.members;
    if (spare < 0) continue;
    const std::int64_t score = strategy.score_scope(spare);
    if (!best.empty() && score >= best_score) continue;
    best_score = score;
    best.swap(candidates);
    if (strategy.take_first) break;
  }
  if (best.empty()) return std::nullopt;
  return Fill(view, spec, strategy, best);
}

std::vector<member_placement> ToPlacement(const worker_topology& topology, const assignment& places) {
  std::vector<member_placement> result;
  for (const assigned_member& place : places) {
    member_placement member{topology.workers()[place.worker].vm->name, {}};
    for (std::uint64_t rest = place.accelerators; rest != 0; rest &= rest - 1) {
      member.accelerators.push_back(std::countr_zero(rest));
    }
    result.push_back(std::move(member));
  }
  return result;
}

assignment ToAssignment(const worker_topology& topology, const std::vector<member_placement>& placement) {
  assignment result;
  for (const member_placement& member : placement) {
    const int worker = topology.FindWorker(member.vm);
    if (worker < 0) continue;
    std::uint64_t mask = 0;
    for (int index : member.accelerators) {
      if (index >= 0 && index < kMaxAcceleratorsPerWorker) mask |= std::uint64_t{1} << index;
    }
    result.push_back({worker, mask});
  }
  return result;
}

}  // namespace hickorystall::state
