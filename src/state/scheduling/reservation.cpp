#include "state/scheduling/reservation.h"

#include <algorithm>
#include <numeric>

namespace hickorystall::state {
namespace {

/// Returns the indices of the allocations in the order of their estimated ends.
std::vector<int> ByEnd(const cluster_state& state) {
  std::vector<int> order(state.allocations().size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](int a, int b) {
    return state.allocations()[a].remaining < state.allocations()[b].remaining;
  });
  return order;
}

}  // namespace

std::optional<reservation> ReserveEarliest(const cluster_state& state, const queued_job& entry,
                                           const placement_strategy& strategy, const capacity_view& base,
                                           wall_time now) {
  const std::vector<int> order = ByEnd(state);
  const auto place_after = [&](std::size_t ended) {
    capacity_view view = base;
    for (std::size_t i = 0; i < ended; ++i) {
      const allocation& other = state.allocations()[order[i]];
      if (!other.releasing) view.Release(other.places, other.job->spec);
    }
    return FindPlacement(view, entry.job->spec, strategy);
  };
  if (!place_after(order.size())) return std::nullopt;
  // The room never shrinks as more jobs end, so a binary search finds the least number of ended jobs that
  // suffices.
  std::size_t low = 0;
  std::size_t high = order.size();
  while (low < high) {
    const std::size_t middle = (low + high) / 2;
    if (place_after(middle)) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  const std::chrono::milliseconds wait =
      low == 0 ? std::chrono::milliseconds(0) : state.allocations()[order[low - 1]].remaining;
  job_spec spec = entry.job->spec;
  if (spec.accelerators > 0) {
    spec.processors = 0;
    spec.memory_mib = 0;
  }
  return reservation{*place_after(low), std::move(spec), now + wait};
}

}  // namespace hickorystall::state
