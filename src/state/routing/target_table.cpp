#include "state/routing/target_table.h"

#include <algorithm>
#include <cassert>

namespace hickorystall::state {
namespace {

// Weight of the newest outcome in the health score, an exponentially weighted average.
constexpr double kNewestOutcomeWeight = 0.2;
// Score of a target whose probe succeeded. It gets less load than the others until more requests have
// succeeded.
constexpr double kScoreAfterProbe = 0.5;
// Lower limit of the score in the cost, which keeps the cost of a target with a score of zero finite.
constexpr double kMinScore = 0.05;

}  // namespace

target_table::target_table(target_table_settings settings) : settings_(settings) {}

void target_table::Configure(const cluster_config& config) {
  for (auto& [name, target] : targets_) target.configured = false;
  for (const vm_config& vm : config.vms) {
    if (vm.kind != vm_kind::kExecutor) continue;
    target_state& target = targets_[vm.name];
    // A VM with a new address runs another process, so its health, load and retry budget are reset. The
    // requests in flight are kept, because Finish still counts them down.
    if (target.address != vm.address) {
      const int in_flight = target.in_flight;
      target = {};
      target.in_flight = in_flight;
    }
    target.address = vm.address;
    target.slots = vm.slots;
    target.connections = vm.connections;
    target.drained = vm.drained;
    target.configured = true;
    target.listed_leaving = listed_leaving_.contains(vm.name);
  }
  std::erase_if(targets_,
                [](const auto& entry) { return !entry.second.configured && entry.second.in_flight == 0; });
}

void target_table::SetGatewayCount(int count) {
  assert(count >= 1);
  gateway_count_ = count;
}

void target_table::SetListedLeaving(std::set<std::string> names) {
  for (auto& [name, target] : targets_) {
    const bool listed = names.contains(name);
    // A VM that is no longer listed was replaced or is not leaving any more, so its own report is obsolete.
    if (target.listed_leaving && !listed) target.reported_leaving = false;
    target.listed_leaving = listed;
  }
  listed_leaving_ = std::move(names);
}

std::vector<chosen_target> target_table::ReportedLeaving() const {
  std::vector<chosen_target> result;
  for (const auto& [name, target] : targets_) {
    if (target.reported_leaving && !target.listed_leaving)
      result.push_back({name, target.address, false, false});
  }
  return result;
}

void target_table::RecordServing(const chosen_target& target) {
  const auto found = targets_.find(target.name);
  if (found != targets_.end() && found->second.address == target.address)
    found->second.reported_leaving = false;
}

bool target_table::MayServe(const target_state& target) const {
  return target.configured && !target.drained && !target.listed_leaving && !target.reported_leaving;
}

int target_table::OtherGatewaysLoad(const target_state& target, routing_time now) const {
  return now - target.reported_at < settings_.max_report_age ? target.others : 0;
}

bool target_table::IsOpen(const target_state& target, routing_time now) const {
  if (!MayServe(target) || target.on_probation) return false;
  const int share = std::max(1, target.slots / gateway_count_);
  const int max_in_flight = std::max(1, std::min(target.slots, target.connections / gateway_count_));
  if (target.in_flight >= max_in_flight) return false;
  if (target.in_flight < share) return true;
  return now >= target.busy_until && target.in_flight + OtherGatewaysLoad(target, now) < target.slots;
}

double target_table::Cost(const target_state& target, routing_time now) const {
  const double load = target.in_flight + OtherGatewaysLoad(target, now) + 1;
  return load / target.slots / std::max(target.score, kMinScore);
}

std::optional<chosen_target> target_table::Choose(const target_request& request, routing_time now,
                                                  std::mt19937_64& random) const {
  using entry = std::map<std::string, target_state>::value_type;
  std::vector<const entry*> open;
  for (const entry& item : targets_) {
    const auto& [name, target] = item;
    if (std::find(request.excluded.begin(), request.excluded.end(), name) != request.excluded.end()) continue;
    if (request.retry && !target.budget.MayRetry()) continue;
    const bool probe_due = target.on_probation && !target.probe_in_flight && now >= target.probe_at;
    if (probe_due && request.may_probe && MayServe(target)) {
      return chosen_target{name, target.address, true, request.retry};
    }
    if (IsOpen(target, now)) open.push_back(&item);
  }
  if (open.empty()) return std::nullopt;
  const entry* best = open[random() % open.size()];
  const entry* other = open[random() % open.size()];
  if (Cost(other->second, now) < Cost(best->second, now)) best = other;
  return chosen_target{best->first, best->second.address, false, request.retry};
}

void target_table::Start(const chosen_target& target) {
  target_state& state = targets_.at(target.name);
  ++state.in_flight;
  ++in_flight_;
  if (target.probe) state.probe_in_flight = true;
  if (target.retry) {
    state.budget.ConsumeRetry();
  } else {
    state.budget.RecordFirstAttempt();
  }
}

void target_table::Finish(const chosen_target& target, attempt_outcome outcome,
                          std::optional<int> reported_load, routing_time now) {
  --in_flight_;
  assert(in_flight_ >= 0);
  target_state& state = targets_.at(target.name);
  --state.in_flight;
  assert(state.in_flight >= 0);
  // The target may have been configured with another address since, which is another process.
  if (state.address != target.address) return;
  if (target.probe) state.probe_in_flight = false;
  if (reported_load.has_value()) {
    state.others = std::max(0, *reported_load - state.in_flight);
    state.reported_at = now;
  }
  switch (outcome) {
    case attempt_outcome::kResponded:
      RecordSuccess(state);
      break;
    case attempt_outcome::kBusy:
      state.busy_until = now + settings_.busy_pause;
      break;
    case attempt_outcome::kLeaving:
      state.reported_leaving = true;
      break;
    case attempt_outcome::kFailed:
      RecordFailure(state, target.probe, now);
      break;
    case attempt_outcome::kNeutral:
      break;
  }
  if (!state.configured && state.in_flight == 0) targets_.erase(target.name);
}

void target_table::RecordSuccess(target_state& target) {
  target.failures_in_row = 0;
  target.score = target.score * (1 - kNewestOutcomeWeight) + kNewestOutcomeWeight;
  if (target.on_probation) {
    target.on_probation = false;
    target.score = kScoreAfterProbe;
  } else if (target.score > 0.9) {
    target.next_probe_delay = std::chrono::milliseconds(0);
  }
}

void target_table::RecordFailure(target_state& target, bool was_probe, routing_time now) {
  ++target.failures_in_row;
  target.score *= 1 - kNewestOutcomeWeight;
  const bool unhealthy =
      target.failures_in_row >= settings_.probation_failures || target.score < settings_.probation_score;
  if (!unhealthy) return;
  // Requests that were sent before the probation began must not postpone its probe.
  if (target.on_probation && !was_probe) return;
  target.on_probation = true;
  target.next_probe_delay =
      std::clamp(target.next_probe_delay * 2, settings_.probe_delay, settings_.max_probe_delay);
  target.probe_at = now + target.next_probe_delay;
}

bool target_table::HasServingTarget() const {
  return std::any_of(targets_.begin(), targets_.end(), [this](const auto& entry) {
    return MayServe(entry.second) && !entry.second.on_probation;
  });
}

std::string_view target_table::HealthName(const target_state& target, routing_time now) const {
  if (!target.configured) return "removed";
  if (target.drained) return "drained";
  if (target.listed_leaving || target.reported_leaving) return "leaving";
  if (target.on_probation) return now >= target.probe_at ? "probe due" : "probation";
  return IsOpen(target, now) ? "open" : "full";
}

std::vector<target_explanation> target_table::Explain(routing_time now) const {
  std::vector<target_explanation> result;
  for (const auto& [name, target] : targets_) {
    result.push_back({name, std::string(HealthName(target, now)), target.in_flight,
                      OtherGatewaysLoad(target, now), target.score, target.failures_in_row,
                      target.budget.allowance()});
  }
  return result;
}

}  // namespace hickorystall::state
