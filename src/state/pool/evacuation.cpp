#include "state/pool/evacuation.h"

namespace hickorystall::state::pool {

using std::chrono::milliseconds;

bool AreEvacuationsCurrent(boot_time fresh_at, boot_time owned_since, milliseconds max_age, boot_time now) {
  if (max_age == milliseconds(0)) return true;
  return fresh_at >= owned_since && now - fresh_at <= max_age;
}

bool MustGiveUpStart(const unit_member& member) {
  return member.phase == run_phase::kOrdered && !member.confirmed && !member.start_in_flight;
}

start_settlement SettlementOf(const unit_member& member) {
  if (member.phase == run_phase::kIdle || member.phase == run_phase::kStopping)
    return start_settlement::kKeep;
  const bool is_sent = member.confirmed || member.start_in_flight || member.may_start_late;
  return is_sent ? start_settlement::kStop : start_settlement::kRelease;
}

int MissingOnEmptyWorkers(const capacity_slots& slots, const unit_shape& shape, int members) {
  unit_shape empty_shape;
  empty_shape.step = shape.step;
  empty_shape.service = shape.service;
  for (const worker_slot& slot : slots) {
    if (members == 0) break;
    members -= MembersThatFit({slot.worker, slot.worker->registration.capacity}, empty_shape, members);
  }
  return members;
}

bool FitsOnEmptyWorkers(const capacity_slots& slots, const unit_shape& shape) {
  return MissingOnEmptyWorkers(slots, shape, shape.members) == 0;
}

}  // namespace hickorystall::state::pool
