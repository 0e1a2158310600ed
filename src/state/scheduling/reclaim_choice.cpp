#include "state/scheduling/reclaim_choice.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace hickorystall::state {
namespace {

/// A place for one member, with the jobs that must be reclaimed for it.
struct member_option {
  /// Work lost by this option and the earlier ones on the same worker, in accelerator milliseconds. It
  /// never decreases from one option of a worker to the next.
  double lost = 0;
  assigned_member place;
  /// Indices of the allocations to reclaim, without those of earlier options on the same worker.
  std::vector<int> victims;
};

/// The part of a job that may be reclaimed on one worker.
struct occupant {
  /// Index of its allocation.
  int index = 0;
  /// Mask of its accelerators on the worker.
  std::uint64_t accelerators = 0;
  /// Its processor cores on the worker.
  int processors = 0;
  /// Its memory on the worker in MiB.
  std::int64_t memory_mib = 0;
  /// Work lost by reclaiming the whole job, in accelerator milliseconds.
  double lost = 0;
};

/// Finds places for members on one worker, one after the other, each with the least additional work lost.
class worker_reclaim {
 public:
  /// Starts with the capacity `free` now and `target` once all `occupants` have been reclaimed.
  worker_reclaim(int worker, const worker_capacity& free, const worker_capacity& target,
                 std::vector<occupant> occupants)
      : worker_(worker), free_(free), target_(target), occupants_(std::move(occupants)) {}

  /// Returns the cheapest place for one more member, which must fit in the target capacity.
  member_option Next(const job_spec& spec) {
    member_option option;
    option.place = {worker_, CheapestRun(spec.accelerators)};
    for (occupant& other : occupants_) {
      if ((other.accelerators & option.place.accelerators) != 0) Evict(other, option);
    }
    EvictForRoom(spec, option);
    free_.processors -= spec.processors;
    free_.memory_mib -= spec.memory_mib;
    target_.accelerators &= ~option.place.accelerators;
    option.lost = lost_;
    return option;
  }

 private:
  /// Returns the work that is lost when the remaining occupants of `run` are reclaimed.
  double LostOn(std::uint64_t run) const {
    double lost = 0;
    for (const occupant& other : occupants_) {
      if ((other.accelerators & run) != 0) lost += other.lost;
    }
    return lost;
  }

  /// Returns the run of `count` target accelerators that loses the least work. It does not split a longer run
  /// in a way that leaves room for fewer further members.
  std::uint64_t CheapestRun(int count) const {
    if (count == 0) return 0;
    const std::uint64_t low = count >= 64 ? ~std::uint64_t{0} : (std::uint64_t{1} << count) - 1;
    const int runs = CountRuns(target_.accelerators, count, kMaxAcceleratorsPerWorker);
    std::uint64_t best = 0;
    double best_lost = 0;
    for (int start = 0; start + count <= kMaxAcceleratorsPerWorker; ++start) {
      const std::uint64_t run = low << start;
      if ((target_.accelerators & run) != run) continue;
      if (CountRuns(target_.accelerators & ~run, count, kMaxAcceleratorsPerWorker) < runs - 1) continue;
      const double lost = LostOn(run);
      if (best != 0 && lost >= best_lost) continue;
      best = run;
      best_lost = lost;
    }
    assert(best != 0);
    return best;
  }

  /// Adds `other` to the victims of `option`, and removes it from the occupants.
  void Evict(occupant& other, member_option& option) {
    option.victims.push_back(other.index);
    lost_ += other.lost;
    free_.processors += other.processors;
    free_.memory_mib += other.memory_mib;
    other = {-1, 0, 0, 0, 0};
  }

  /// Evicts the cheapest further jobs until cores and memory suffice.
  void EvictForRoom(const job_spec& spec, member_option& option) {
    while (free_.processors < spec.processors || free_.memory_mib < spec.memory_mib) {
      occupant* cheapest = nullptr;
      for (occupant& other : occupants_) {
        if (other.index >= 0 && (cheapest == nullptr || other.lost < cheapest->lost)) cheapest = &other;
      }
      if (cheapest == nullptr) return;
      Evict(*cheapest, option);
    }
  }

  /// Worker index.
  int worker_;
  /// Capacity that is free without the jobs evicted so far.
  worker_capacity free_;
  /// Capacity that is free once all occupants have been reclaimed, less that of the members placed so far.
  worker_capacity target_;
  /// Jobs that may be reclaimed; an evicted one has index -1.
  std::vector<occupant> occupants_;
  /// Work lost so far.
  double lost_ = 0;
};

/// Returns the occupants by worker index. A gang is listed once on each of its workers.
std::vector<std::vector<occupant>> OccupantsByWorker(const cluster_state& state,
                                                     const reclaim_request& request) {
  std::vector<std::vector<occupant>> result(state.topology().workers().size());
  const std::vector<allocation>& allocations = state.allocations();
  for (int i = 0; i < static_cast<int>(allocations.size()); ++i) {
    if (!request.eligible[i]) continue;
    const job_spec& spec = allocations[i].job->spec;
    for (const assigned_member& place : allocations[i].places) {
      std::vector<occupant>& here = result[place.worker];
      if (here.empty() || here.back().index != i)
        here.push_back({i, 0, 0, 0, allocations[i].lost_by_reclaim});
      here.back().accelerators |= place.accelerators;
      here.back().processors += spec.processors;
      here.back().memory_mib += spec.memory_mib;
    }
  }
  return result;
}

/// Returns options for the members of the gang within `scope`, cheapest first; fewer than members when the
/// gang does not fit.
std::vector<member_option> OptionsIn(const std::vector<int>& scope, const cluster_state& state,
                                     const reclaim_request& request,
                                     const std::vector<std::vector<occupant>>& occupants) {
  std::vector<member_option> options;
  for (int worker : scope) {
    const int fit = request.target->MembersThatFit(worker, *request.spec, request.spec->members);
    if (fit == 0) continue;
    worker_reclaim search(worker, state.free_after_release().at(worker), request.target->at(worker),
                          occupants[worker]);
    for (int i = 0; i < fit; ++i) options.push_back(search.Next(*request.spec));
  }
  std::stable_sort(options.begin(), options.end(),
                   [](const member_option& a, const member_option& b) { return a.lost < b.lost; });
  if (static_cast<int>(options.size()) > request.spec->members) options.resize(request.spec->members);
  return options;
}

/// Merges the options into one choice. A victim that is in the way on several workers is counted once.
reclaim_choice MergeOptions(const cluster_state& state, const std::vector<member_option>& options) {
  reclaim_choice choice;
  std::set<int> victims;
  for (const member_option& option : options) {
    choice.places.push_back(option.place);
    victims.insert(option.victims.begin(), option.victims.end());
  }
  choice.victims.assign(victims.begin(), victims.end());
  for (int index : choice.victims) choice.lost += state.allocations()[index].lost_by_reclaim;
  return choice;
}

}  // namespace

std::optional<reclaim_choice> ChooseReclaim(const cluster_state& state, const reclaim_request& request) {
  const std::vector<std::vector<occupant>> occupants = OccupantsByWorker(state, request);
  std::optional<reclaim_choice> best;
  for (const std::vector<int>& scope : state.topology().scopes(request.spec->placement)) {
    const std::vector<member_option> options = OptionsIn(scope, state, request, occupants);
    if (static_cast<int>(options.size()) < request.spec->members) continue;
    reclaim_choice choice = MergeOptions(state, options);
    if (!best || choice.lost < best->lost) best = std::move(choice);
  }
  return best;
}

}  // namespace hickorystall::state
