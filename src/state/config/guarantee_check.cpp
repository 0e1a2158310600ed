#include "state/config/guarantee_check.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <numeric>
#include <optional>
#include <string>
#include <tuple>

namespace hickorystall::state {
namespace {

// Placements that one search tries before it gives up. Keeps the check under a second at the cluster size
// expected in two years.
constexpr int kMaxPlacementAttempts = 20000;

// A guaranteed gang that needs accelerators.
struct gang {
  guarantee_ref source;
  guaranteed_shape shape;
};

// Workers that one gang may be spread over, as indices into worker_groups::free.
using worker_group = std::vector<std::size_t>;

// Free accelerators of each worker, and the workers by rack and failure domain. Counts suffice: on an empty
// worker the accelerators of the members can be assigned consecutively, so a set of members fits exactly when
// their sum does.
struct worker_groups {
  std::vector<int> free;
  std::vector<worker_group> racks;
  std::vector<worker_group> failure_domains;
  std::vector<worker_group> all;

  const std::vector<worker_group>& GroupsFor(adjacency placement) const {
    switch (placement) {
      case adjacency::kRack:
        return racks;
      case adjacency::kFailureDomain:
        return failure_domains;
      case adjacency::kNone:
        break;
    }
    return all;
  }
};

std::vector<worker_group> Values(const std::map<std::string, worker_group>& groups) {
  std::vector<worker_group> result;
  result.reserve(groups.size());
  for (const auto& [name, members] : groups) result.push_back(members);
  return result;
}

worker_groups GroupWorkers(const cluster_config& config, capacity_scope scope) {
  std::map<std::string, std::string> domain_of_rack;
  for (const rack_config& rack : config.racks) domain_of_rack.emplace(rack.name, rack.failure_domain);
  worker_groups groups;
  std::map<std::string, worker_group> racks;
  std::map<std::string, worker_group> failure_domains;
  for (const vm_config& vm : config.vms) {
    const bool counts = scope == capacity_scope::kInventory || !vm.drained;
    if (vm.kind != vm_kind::kWorker || vm.accelerators == 0 || !counts) continue;
    racks[vm.rack].push_back(groups.free.size());
    failure_domains[domain_of_rack[vm.rack]].push_back(groups.free.size());
    groups.free.push_back(vm.accelerators);
  }
  groups.racks = Values(racks);
  groups.failure_domains = Values(failure_domains);
  groups.all.emplace_back(groups.free.size());
  std::iota(groups.all.front().begin(), groups.all.front().end(), std::size_t{0});
  return groups;
}

int TotalFree(const std::vector<int>& free, const worker_group& group) {
  return std::accumulate(group.begin(), group.end(), 0,
                         [&](int sum, std::size_t worker) { return sum + free[worker]; });
}

// Allocates the members of `shape` on the workers of `group`, those with the least free accelerators first.
// Leaves `free` unchanged and returns false when they do not fit.
bool AllocateFrom(const worker_group& group, const guaranteed_shape& shape, std::vector<int>& free) {
  worker_group by_free = group;
  std::stable_sort(by_free.begin(), by_free.end(),
                   [&](std::size_t left, std::size_t right) { return free[left] < free[right]; });
  int missing = shape.members;
  std::vector<std::pair<std::size_t, int>> allocated;
  for (const std::size_t worker : by_free) {
    const int members = std::min(missing, free[worker] / shape.accelerators);
    if (members == 0) continue;
    allocated.emplace_back(worker, members * shape.accelerators);
    missing -= members;
    if (missing == 0) break;
  }
  if (missing > 0) return false;
  for (const auto& [worker, accelerators] : allocated) free[worker] -= accelerators;
  return true;
}

// Returns the groups that may fit `shape`, those with the least free capacity first, so that large groups
// stay free for large gangs.
std::vector<const worker_group*> CandidateGroups(const worker_groups& groups, const guaranteed_shape& shape,
                                                 const std::vector<int>& free) {
  std::vector<std::pair<int, const worker_group*>> ranked;
  for (const worker_group& group : groups.GroupsFor(shape.placement)) {
    const int sum = TotalFree(free, group);
    if (sum >= shape.members * shape.accelerators) ranked.emplace_back(sum, &group);
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const auto& left, const auto& right) { return left.first < right.first; });
  std::vector<const worker_group*> result;
  result.reserve(ranked.size());
  for (const auto& [sum, group] : ranked) result.push_back(group);
  return result;
}

// Searches depth-first for a placement of the gangs from index `next` on.
bool PlaceRemaining(std::size_t next, const std::vector<gang>& gangs, const worker_groups& groups,
                    const std::vector<int>& free, int& attempts) {
  if (next == gangs.size()) return true;
  for (const worker_group* group : CandidateGroups(groups, gangs[next].shape, free)) {
    if (++attempts > kMaxPlacementAttempts) return false;
    std::vector<int> remaining = free;
    if (AllocateFrom(*group, gangs[next].shape, remaining) &&
        PlaceRemaining(next + 1, gangs, groups, remaining, attempts)) {
      return true;
    }
  }
  return false;
}

// Places each gang that fits, in order, and returns the others.
std::vector<guarantee_ref> PlaceGreedily(const std::vector<gang>& gangs, const worker_groups& groups) {
  std::vector<int> free = groups.free;
  std::vector<guarantee_ref> unplaced;
  for (const gang& item : gangs) {
    const std::vector<const worker_group*> candidates = CandidateGroups(groups, item.shape, free);
    const bool placed = std::any_of(candidates.begin(), candidates.end(), [&](const worker_group* group) {
      return AllocateFrom(*group, item.shape, free);
    });
    if (!placed) unplaced.push_back(item.source);
  }
  return unplaced;
}

std::vector<gang> CollectGangs(const cluster_config& config) {
  std::vector<gang> gangs;
  for (std::size_t i = 0; i < config.workspaces.size(); ++i) {
    const std::vector<guaranteed_shape>& shapes = config.workspaces[i].guarantees;
    for (std::size_t j = 0; j < shapes.size(); ++j) {
      if (shapes[j].accelerators > 0 && shapes[j].members > 0) gangs.push_back({{i, j}, shapes[j]});
    }
  }
  return gangs;
}

int AdjacencyStrictness(adjacency placement) {
  switch (placement) {
    case adjacency::kRack:
      return 2;
    case adjacency::kFailureDomain:
      return 1;
    case adjacency::kNone:
      break;
  }
  return 0;
}

}  // namespace

std::vector<guarantee_ref> FindUnplaceableGuarantees(const cluster_config& config, capacity_scope scope) {
  const worker_groups groups = GroupWorkers(config, scope);
  std::vector<gang> gangs = CollectGangs(config);
  // Wide members have the smallest choice of workers, and strict placement constraints the smallest choice of
  // groups. Which of the two matters more depends on the inventory, so both orders are tried.
  const auto by_adjacency = [](const gang& item) {
    return std::tuple(-AdjacencyStrictness(item.shape.placement), -item.shape.accelerators,
                      -item.shape.members);
  };
  const auto by_width = [](const gang& item) {
    return std::tuple(-item.shape.accelerators, -AdjacencyStrictness(item.shape.placement),
                      -item.shape.members);
  };
  std::stable_sort(gangs.begin(), gangs.end(), [&](const gang& left, const gang& right) {
    return by_adjacency(left) < by_adjacency(right);
  });
  std::vector<gang> wide_first = gangs;
  std::stable_sort(wide_first.begin(), wide_first.end(),
                   [&](const gang& left, const gang& right) { return by_width(left) < by_width(right); });
  std::vector<guarantee_ref> unplaced = PlaceGreedily(gangs, groups);
  if (unplaced.empty() || PlaceGreedily(wide_first, groups).empty()) return {};
  for (const std::vector<gang>& order : {gangs, wide_first}) {
    int attempts = 0;
    if (PlaceRemaining(0, order, groups, groups.free, attempts)) return {};
  }
  return unplaced;
}

int LargestGang(const cluster_config& config, int accelerators, adjacency placement, capacity_scope scope) {
  assert(accelerators > 0);
  const worker_groups groups = GroupWorkers(config, scope);
  int largest = 0;
  for (const worker_group& group : groups.GroupsFor(placement)) {
    const int members = std::accumulate(group.begin(), group.end(), 0, [&](int sum, std::size_t worker) {
      return sum + groups.free[worker] / accelerators;
    });
    largest = std::max(largest, members);
  }
  return largest;
}

}  // namespace hickorystall::state
