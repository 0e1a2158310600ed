#include "state/pool/learning/learned_state.h"

#include <cmath>
#include <map>
#include <string_view>

namespace hickorystall::state::pool::learning {
namespace {

// Difference in logs from which on a time or speed counts as changed. Less is within the spread of a step.
constexpr double kMaterialDifference = 0.2;

// Returns the logarithm of the typical run time of a group.
double TypicalTime(const learned_group& group) { return group.sums[2] / group.sums[0] + group.quantiles[0]; }

// A damaged number that is stored is no number and differs from any.
bool Differs(double left, double right) { return !(std::abs(left - right) <= kMaterialDifference); }

bool Differs(const learned_group& left, const learned_group& right) {
  return Differs(TypicalTime(left), TypicalTime(right)) || Differs(left.quantiles[1], right.quantiles[1]) ||
         Differs(left.quantiles[2], right.quantiles[2]);
}

bool Differs(const learned_worker& left, const learned_worker& right) {
  return left.incarnation != right.incarnation || left.grade != right.grade ||
         (left.grade != speed_class::kNormal && Differs(left.log_speed, right.log_speed));
}

}  // namespace

bool DiffersMaterially(const learned_state& current, const learned_state& stored) {
  std::map<task_group_view, const learned_group*> groups;
  for (const learned_group& group : stored.groups) groups.emplace(group.group, &group);
  for (const learned_group& group : current.groups) {
    const auto found = groups.find(group.group);
    if (found == groups.end() || Differs(group, *found->second)) return true;
  }
  if (current.workers.empty() != stored.workers.empty()) return true;
  std::map<std::string_view, const learned_worker*> workers;
  for (const learned_worker& worker : stored.workers) workers.emplace(worker.id, &worker);
  for (const learned_worker& worker : current.workers) {
    const auto found = workers.find(worker.id);
    // A normal worker that is missing is one of unknown speed, which is also normal.
    if (found == workers.end() ? worker.grade != speed_class::kNormal : Differs(worker, *found->second))
      return true;
  }
  return false;
}

}  // namespace hickorystall::state::pool::learning
