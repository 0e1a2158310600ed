#include "state/scheduling/capacity_view.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <map>
#include <utility>

namespace hickorystall::state {
namespace {

/// Returns a mask with the `count` lowest bits set.
std::uint64_t LowBits(int count) { return count >= 64 ? ~std::uint64_t{0} : (std::uint64_t{1} << count) - 1; }

}  // namespace

capacity_view::capacity_view(const worker_topology& topology)
    : topology_(&topology), workers_(topology.workers().size()), rack_free_(topology.rack_count()) {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    const worker_entry& entry = topology.workers()[i];
    workers_[i].accelerators = LowBits(std::min(entry.vm->accelerators, kMaxAcceleratorsPerWorker));
    workers_[i].processors = entry.vm->processors;
    workers_[i].memory_mib = entry.vm->memory_mib;
    rack_free_[entry.rack] += std::popcount(workers_[i].accelerators);
  }
}

void capacity_view::Allocate(const assignment& places, const job_spec& spec) {
  for (const assigned_member& place : places) {
    worker_capacity& worker = workers_[place.worker];
    rack_free_[topology_->workers()[place.worker].rack] -=
        std::popcount(worker.accelerators & place.accelerators);
    worker.accelerators &= ~place.accelerators;
    worker.processors -= spec.processors;
    worker.memory_mib -= spec.memory_mib;
    --worker.tasks;
  }
}

void capacity_view::Release(const assignment& places, const job_spec& spec) {
  for (const assigned_member& place : places) {
    worker_capacity& worker = workers_[place.worker];
    rack_free_[topology_->workers()[place.worker].rack] +=
        std::popcount(~worker.accelerators & place.accelerators);
    worker.accelerators |= place.accelerators;
    worker.processors += spec.processors;
    worker.memory_mib += spec.memory_mib;
    ++worker.tasks;
  }
}

int capacity_view::MembersThatFit(int worker, const job_spec& spec, int limit) const {
  const worker_capacity& free = workers_[worker];
  limit = std::min(limit, free.tasks);
  if (free.trial && (spec.members > 1 || spec.urgent)) return 0;
  if (spec.processors > 0) limit = std::min(limit, free.processors / spec.processors);
  if (spec.memory_mib > 0) {
    limit = static_cast<int>(std::min<std::int64_t>(limit, free.memory_mib / spec.memory_mib));
  }
  if (limit <= 0) return 0;
  return spec.accelerators > 0 ? CountRuns(free.accelerators, spec.accelerators, limit) : limit;
}

bool capacity_view::Allows(const assignment& places, const job_spec& spec) const {
  std::map<int, std::pair<std::uint64_t, int>> by_worker;
  for (const assigned_member& place : places) {
    auto& [mask, count] = by_worker[place.worker];
    if ((mask & place.accelerators) != 0) return false;
    mask |= place.accelerators;
    ++count;
  }
  return std::all_of(by_worker.begin(), by_worker.end(), [&](const auto& entry) {
    const auto& [mask, count] = entry.second;
    return (workers_[entry.first].accelerators & mask) == mask &&
           MembersThatFit(entry.first, spec, count) == count;
  });
}

void capacity_view::IntersectWith(const capacity_view& other) {
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    worker_capacity& mine = workers_[i];
    const worker_capacity& theirs = other.workers_[i];
    mine.accelerators &= theirs.accelerators;
    mine.processors = std::min(mine.processors, theirs.processors);
    mine.memory_mib = std::min(mine.memory_mib, theirs.memory_mib);
    mine.tasks = std::min(mine.tasks, theirs.tasks);
  }
}

void capacity_view::KeepOnly(const assignment& places) {
  std::vector<std::uint64_t> kept(workers_.size());
  std::vector<int> tasks(workers_.size());
  for (const assigned_member& place : places) {
    kept[place.worker] |= place.accelerators;
    ++tasks[place.worker];
  }
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    workers_[i].accelerators &= kept[i];
    workers_[i].tasks = std::min(workers_[i].tasks, tasks[i]);
  }
}

int CountRuns(std::uint64_t mask, int count, int limit) {
  int runs = 0;
  while (mask != 0 && runs < limit) {
    const int start = std::countr_zero(mask);
    const int length = std::countr_one(mask >> start);
    runs += length / count;
    mask &= ~(LowBits(length) << start);
  }
  return std::min(runs, limit);
}

int LongestRun(std::uint64_t mask) {
  int length = 0;
  for (; mask != 0; mask &= mask << 1) ++length;
  return length;
}

std::uint64_t FindRun(std::uint64_t free, int count) {
  if (count <= 0) return 0;
  int best_start = -1;
  int best_length = kMaxAcceleratorsPerWorker + 1;
  for (std::uint64_t rest = free; rest != 0;) {
    const int start = std::countr_zero(rest);
    const int length = std::countr_one(rest >> start);
    rest &= ~(LowBits(length) << start);
    if (length < count || length >= best_length) continue;
    const int skipped = (start + count - 1) / count * count - start;
    // Align only when as many further runs fit in the rest as with an unaligned start.
    const bool keeps_room =
        skipped + count <= length && skipped / count + (length - skipped) / count == length / count;
    best_start = keeps_room ? start + skipped : start;
    best_length = length;
  }
  return best_start < 0 ? 0 : LowBits(count) << best_start;
}

}  // namespace hickorystall::state
