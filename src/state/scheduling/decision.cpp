#include "state/scheduling/decision.h"

#include <cassert>

#include "state/scheduling/decision_pass.h"
#include "state/scheduling/scheduling_policy.h"

namespace hickorystall::state {

scheduling_decision DecideBy(const scheduling_policy& policy, const scheduling_snapshot& snapshot,
                             wall_time now) {
  assert(snapshot.config != nullptr);
  return decision_pass(policy, snapshot, now).Run();
}

scheduling_decision Decide(const scheduling_snapshot& snapshot, wall_time now) {
  return DecideBy(kDefaultPolicy, snapshot, now);
}

}  // namespace hickorystall::state
