// Part of pool_state: evacuated failure domains.
#include <cassert>
#include <utility>

#include "state/pool/pool_state.h"

namespace hickorystall::state::pool {

void pool_state::SetEvacuations(std::shared_ptr<const evacuation_set> evacuations, boot_time fresh_at,
                                boot_time now) {
  if (evacuations == evacuations_) return;
  const std::shared_ptr<const evacuation_set> former = std::exchange(evacuations_, std::move(evacuations));
  const auto add_event = [&](pool_event_kind kind, const std::string& domain, boot_time since) {
    const domain_load load = LoadOfDomain(domain);
    AddEvent(kind, "", "", 0, "",
             "domain=" + domain + " age_ms=" + std::to_string((now - fresh_at).count()) +
                 " since_ms=" + std::to_string((now - since).count()) +
                 " workers=" + std::to_string(load.workers) + " runs=" + std::to_string(load.runs));
  };
  for (const auto& [domain, since] : evacuations_->domains) {
    if (!former->domains.contains(domain)) add_event(pool_event_kind::kEvacuationBegun, domain, since);
  }
  for (const auto& [domain, since] : former->domains) {
    if (!evacuations_->domains.contains(domain)) add_event(pool_event_kind::kEvacuationEnded, domain, since);
  }
  for (auto& [id, worker] : workers_) UpdateEvacuated(worker);
}

pool_state::domain_load pool_state::LoadOfDomain(const std::string& domain) const {
  domain_load load;
  for (const auto& [id, worker] : workers_) {
    if (worker.registration.failure_domain != domain) continue;
    load.workers += worker.listed ? 1 : 0;
    load.runs += static_cast<int>(worker.tasks.size());
  }
  return load;
}

bool pool_state::IsEvacuated(const std::string& id) const {
  const auto found = workers_.find(id);
  return found != workers_.end() && found->second.evacuated;
}

void pool_state::SetStartInFlight(const std::string& task, std::int64_t run, bool in_flight) {
  const std::optional<task_location> location = FindTask(task);
  if (location && location->unit->last_run == run) location->member->start_in_flight = in_flight;
}

void pool_state::UpdateEvacuated(worker_entry& worker) {
  const bool was_evacuated = worker.evacuated;
  worker.evacuated = evacuations_->domains.contains(worker.registration.failure_domain);
  if (!worker.evacuated || was_evacuated) return;
  const std::set<std::string> tasks = worker.tasks;
  for (const std::string& task : tasks) {
    const std::optional<task_location> location = FindTask(task);
    assert(location);
    if (MustGiveUpStart(*location->member)) GiveUpUnit(*location, task);
  }
}

void pool_state::GiveUpUnit(const task_location& location, const std::string& task) {
  AddEvent(pool_event_kind::kStartRefused, location.position.job, task, location.unit->last_run,
           location.member->worker, "evacuated");
  for (unit_member& member : location.unit->members) {
    const task_location place{location.job, location.position, location.unit, &member, location.step};
    const start_settlement settlement = SettlementOf(member);
    if (settlement == start_settlement::kRelease) Release(place);
    if (settlement == start_settlement::kStop) OrderStop(place);
  }
}

}  // namespace hickorystall::state::pool
