#include "state/scheduling/guarantee_plan.h"

#include <algorithm>

namespace hickorystall::state {
namespace {

/// Maximum number of further orders that are tried, each with both searches, while a guarantee has no place.
constexpr int kMaxReorders = 4;

/// True when a member of `a` and a member of `b` need the same capacity.
bool SameSizes(const job_spec& a, const job_spec& b) {
  return a.accelerators == b.accelerators && a.processors == b.processors && a.memory_mib == b.memory_mib;
}

/// Finds first-fit places for a sequence of shapes. For consecutive single members of the same sizes the
/// search continues at the last worker, since the workers before it have no room. Without this, a plan of n
/// guarantees would cost n squared.
class first_fit_search {
 public:
  /// Returns a place for `spec` in `view`, or nothing.
  std::optional<assignment> Find(const capacity_view& view, const job_spec& spec) {
    if (spec.members > 1) return FindPlacement(view, spec, kFirstFit);
    if (!last_ || !SameSizes(spec, *last_)) next_ = 0;
    last_ = spec;
    for (; next_ < static_cast<int>(view.topology().workers().size()); ++next_) {
      if (view.MembersThatFit(next_, spec, 1) == 0) continue;
      return assignment{{next_, FindRun(view.at(next_).accelerators, spec.accelerators)}};
    }
    return std::nullopt;
  }

 private:
  /// Sizes of the last single member; empty before the first.
  std::optional<job_spec> last_;
  /// Index of the first worker that may have room for these sizes.
  int next_ = 0;
};

/// Finds places that fragment the remaining capacity least.
class least_fragmentation_search {
 public:
  /// Returns a place for `spec` in `view`, or nothing.
  static std::optional<assignment> Find(const capacity_view& view, const job_spec& spec) {
    return FindPlacement(view, spec, kLeastFragmentation);
  }
};

/// Places `unused_shapes` one after the other with `search`.
template <typename search_type>
guarantee_plan PlanWith(const std::vector<unused_shape>& unused_shapes, capacity_view view,
                        search_type search) {
  guarantee_plan plan;
  for (const unused_shape& shape : unused_shapes) {
    std::optional<assignment> places = search.Find(view, shape.spec);
    if (!places) {
      plan.missing += shape.partial ? 0 : 1;
      continue;
    }
    view.Allocate(*places, shape.spec);
    for (const assigned_member& place : *places) {
      plan.members.push_back({place, shape.workspace, shape.spec.processors, shape.spec.memory_mib});
    }
    plan.shapes.push_back({shape, std::move(*places)});
  }
  std::stable_sort(
      plan.members.begin(), plan.members.end(),
      [](const planned_member& a, const planned_member& b) { return a.place.worker < b.place.worker; });
  return plan;
}

/// Replaces `best` by `other` when `other` leaves fewer shapes without a place.
void KeepBetter(guarantee_plan& best, guarantee_plan other) {
  if (other.missing < best.missing) best = std::move(other);
}

/// Moves the shapes for which first fit finds no place to the front of `unused_shapes`.
void MoveUnplacedFirst(std::vector<unused_shape>& unused_shapes, capacity_view view) {
  first_fit_search search;
  std::vector<unused_shape> unplaced;
  std::vector<unused_shape> placed;
  for (unused_shape& shape : unused_shapes) {
    const std::optional<assignment> places = search.Find(view, shape.spec);
    if (places) view.Allocate(*places, shape.spec);
    (places || shape.partial ? placed : unplaced).push_back(std::move(shape));
  }
  unused_shapes = std::move(unplaced);
  unused_shapes.insert(unused_shapes.end(), placed.begin(), placed.end());
}

}  // namespace

void guarantee_plan::AllocateIn(capacity_view& view, int except) const {
  for (const planned_shape& planned : shapes) {
    if (planned.shape.workspace != except) view.Allocate(planned.places, planned.shape.spec);
  }
}

const assignment* guarantee_plan::FindExactPlace(int workspace, const job_spec& spec) const {
  for (const planned_shape& planned : shapes) {
    const job_spec& shape = planned.shape.spec;
    if (planned.shape.workspace == workspace && shape.members == spec.members &&
        shape.accelerators == spec.accelerators && (spec.members == 1 || shape.placement == spec.placement)) {
      return &planned.places;
    }
  }
  return nullptr;
}

bool guarantee_plan::OverlapsOtherWorkspaces(const assignment& places, int workspace, const job_spec& spec,
                                             const worker_topology& topology) const {
  return std::any_of(places.begin(), places.end(), [&](const assigned_member& place) {
    auto planned =
        std::lower_bound(members.begin(), members.end(), place.worker,
                         [](const planned_member& a, int worker) { return a.place.worker < worker; });
    std::int64_t processors = 0;
    std::int64_t memory_mib = 0;
    bool has_others = false;
    for (; planned != members.end() && planned->place.worker == place.worker; ++planned) {
      if (planned->workspace == workspace) continue;
      if ((planned->place.accelerators & place.accelerators) != 0) return true;
      has_others = true;
      processors += planned->processors;
      memory_mib += planned->memory_mib;
    }
    if (!has_others) return false;
    const auto here = std::count_if(places.begin(), places.end(), [&](const assigned_member& other) {
      return other.worker == place.worker;
    });
    const vm_config& vm = *topology.workers()[place.worker].vm;
    return processors + here * spec.processors > vm.processors ||
           memory_mib + here * spec.memory_mib > vm.memory_mib;
  });
}

std::vector<assignment> guarantee_plan::PlacesOf(int workspace) const {
  std::vector<assignment> result;
  assignment all;
  for (auto planned = shapes.rbegin(); planned != shapes.rend(); ++planned) {
    if (planned->shape.workspace != workspace) continue;
    result.push_back(planned->places);
    all.insert(all.end(), planned->places.begin(), planned->places.end());
  }
  result.push_back(std::move(all));
  return result;
}

bool guarantee_plan::SharesWorkers(const assignment& places) const {
  return std::any_of(places.begin(), places.end(), [&](const assigned_member& place) {
    return std::binary_search(
        members.begin(), members.end(), planned_member{place},
        [](const planned_member& a, const planned_member& b) { return a.place.worker < b.place.worker; });
  });
}

guarantee_plan PlanGuarantees(const guarantee_ledger& ledger, const capacity_view& available) {
  std::vector<unused_shape> unused_shapes = ledger.UnusedShapes();
  guarantee_plan best = PlanWith(unused_shapes, available, first_fit_search());
  // First fit with the largest shapes first is not optimal. A shape that it cannot place may fit when the
  // others fragment less, or when it is placed before them: a wide gang of small members can need the only
  // rack that is wide enough.
  for (int i = 0; i <= kMaxReorders && best.missing > 0; ++i) {
    if (i > 0) KeepBetter(best, PlanWith(unused_shapes, available, first_fit_search()));
    if (best.missing > 0) KeepBetter(best, PlanWith(unused_shapes, available, least_fragmentation_search()));
    MoveUnplacedFirst(unused_shapes, available);
  }
  return best;
}

}  // namespace hickorystall::state
