#include "state/scheduling/guarantee_plan.h"

#include <algorithm>

namespace hickorystall::state {
namespace {

/// Places `open` one after the other by `strategy`.
guarantee_plan PlanWith(const std::vector<open_shape>& open, capacity_view view,
                        const placement_strategy& strategy) {
  guarantee_plan plan;
  for (const open_shape& shape : open) {
    std::optional<assignment> places = FindPlacement(view, shape.spec, strategy);
    if (!places) {
      ++plan.missing;
      continue;
    }
    view.Take(*places, shape.spec);
    plan.shapes.push_back({shape, std::move(*places)});
  }
  return plan;
}

}  // namespace

void guarantee_plan::TakeFrom(capacity_view& view, int except) const {
  for (const planned_shape& planned : shapes) {
    if (planned.shape.workspace != except) view.Take(planned.places, planned.shape.spec);
  }
}

bool guarantee_plan::Touches(const assignment& places) const {
  return std::any_of(shapes.begin(), shapes.end(), [&](const planned_shape& planned) {
    return std::any_of(planned.places.begin(), planned.places.end(), [&](const assigned_member& a) {
      return std::any_of(places.begin(), places.end(),
                         [&](const assigned_member& b) { return a.worker == b.worker; });
    });
  });
}

guarantee_plan PlanGuarantees(const guarantee_ledger& ledger, const capacity_view& firm) {
  const std::vector<open_shape> open = ledger.Open();
  guarantee_plan plan = PlanWith(open, firm, kFirstFit);
  if (plan.missing == 0) return plan;
  // First fit is not optimal; a shape that it cannot place may fit when the others leave less over.
  guarantee_plan other = PlanWith(open, firm, kLeastLeftOver);
  return other.missing < plan.missing ? other : plan;
}

}  // namespace hickorystall::state
