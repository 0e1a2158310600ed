#include "state/scheduling/guarantee_plan.h"

#include <algorithm>

namespace hickorystall::state {
namespace {

/// True when members of both take the same place.
bool SameSizes(const job_spec& a, const job_spec& b) {
  return a.accelerators == b.accelerators && a.processors == b.processors && a.memory_mib == b.memory_mib;
}

/// Finds first-fit places for a sequence of shapes. A run of single members of the same sizes goes on from
/// the last worker, since those before it have no room; this keeps the plan of n guarantees from costing n
/// squared.
class first_fit_search {
 public:
  /// Finds a place for `spec` in `view`.
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
  /// Sizes of the last single member.
  std::optional<job_spec> last_;
  /// First worker that may have room for them.
  int next_ = 0;
};

/// Finds places that leave the least over.
class least_left_over_search {
 public:
  /// Finds a place for `spec` in `view`.
  static std::optional<assignment> Find(const capacity_view& view, const job_spec& spec) {
    return FindPlacement(view, spec, kLeastLeftOver);
  }
};

/// Places `open` one after the other by `search`.
template <typename search_type>
guarantee_plan PlanWith(const std::vector<open_shape>& open, capacity_view view, search_type search) {
  guarantee_plan plan;
  for (const open_shape& shape : open) {
    std::optional<assignment> places = search.Find(view, shape.spec);
    if (!places) {
      plan.missing += shape.partial ? 0 : 1;
      continue;
    }
    view.Take(*places, shape.spec);
    for (const assigned_member& place : *places) plan.members.push_back({place, shape.workspace});
    plan.shapes.push_back({shape, std::move(*places)});
  }
  std::stable_sort(
      plan.members.begin(), plan.members.end(),
      [](const planned_member& a, const planned_member& b) { return a.place.worker < b.place.worker; });
  return plan;
}

}  // namespace

void guarantee_plan::TakeFrom(capacity_view& view, int except) const {
  for (const planned_shape& planned : shapes) {
    if (planned.shape.workspace != except) view.Take(planned.places, planned.shape.spec);
  }
}

const assignment* guarantee_plan::PlaceOf(int workspace, const job_spec& spec) const {
  for (const planned_shape& planned : shapes) {
    const job_spec& shape = planned.shape.spec;
    if (planned.shape.workspace == workspace && shape.members == spec.members &&
        shape.accelerators == spec.accelerators && (spec.members == 1 || shape.placement == spec.placement)) {
      return &planned.places;
    }
  }
  return nullptr;
}

bool guarantee_plan::IsOnOthers(const assignment& places, int workspace) const {
  return std::any_of(places.begin(), places.end(), [&](const assigned_member& place) {
    auto planned =
        std::lower_bound(members.begin(), members.end(), place.worker,
                         [](const planned_member& a, int worker) { return a.place.worker < worker; });
    for (; planned != members.end() && planned->place.worker == place.worker; ++planned) {
      if (planned->workspace != workspace && (planned->place.accelerators & place.accelerators) != 0)
        return true;
    }
    return false;
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

bool guarantee_plan::Touches(const assignment& places) const {
  return std::any_of(places.begin(), places.end(), [&](const assigned_member& place) {
    return std::binary_search(
        members.begin(), members.end(), planned_member{place, 0},
        [](const planned_member& a, const planned_member& b) { return a.place.worker < b.place.worker; });
  });
}

guarantee_plan PlanGuarantees(const guarantee_ledger& ledger, const capacity_view& firm) {
  const std::vector<open_shape> open = ledger.Open();
  guarantee_plan plan = PlanWith(open, firm, first_fit_search());
  if (plan.missing == 0) return plan;
  // First fit is not optimal; a shape that it cannot place may fit when the others leave less over.
  guarantee_plan other = PlanWith(open, firm, least_left_over_search());
  return other.missing < plan.missing ? other : plan;
}

}  // namespace hickorystall::state
