#pragma once

#include <chrono>

#include "state/pool/evacuation_set.h"
#include "state/pool/job_entry.h"
#include "state/pool/pool_time.h"
#include "state/pool/unit_placement.h"

namespace hickorystall::state::pool {

/// Returns whether a set that is known to have been current at `fresh_at` may be used for starts by an owner
/// that took over at `owned_since`. Before that time, the former owner may have known a newer set. A
/// `max_age` of 0 sets no limit.
bool AreEvacuationsCurrent(boot_time fresh_at, boot_time owned_since, std::chrono::milliseconds max_age,
                           boot_time now);

/// What becomes of an ordered start whose worker, or that of another member of the gang, is evacuated.
enum class start_settlement {
  /// There is nothing to settle, or the reply to an attempt decides.
  kKeep,
  /// It was never sent, so the run does not exist.
  kRelease,
  /// The run exists or may exist, so only a stop settles it.
  kStop,
};

/// Returns whether the start of `member` must be given up because its worker is evacuated. A run that the
/// worker has confirmed continues. An attempt that waits for its reply was sent before, so its reply decides.
bool MustGiveUpStart(const unit_member& member);
/// Returns how `member` is settled when its unit is given up.
start_settlement SettlementOf(const unit_member& member);

/// Returns how many of `members` tasks of `shape` do not fit on the workers of `slots`, in any rack, if they
/// were all empty.
int MissingOnEmptyWorkers(const capacity_slots& slots, const unit_shape& shape, int members);
/// Returns whether `shape` fits on the workers of `slots`, in any rack, if they were all empty.
bool FitsOnEmptyWorkers(const capacity_slots& slots, const unit_shape& shape);

}  // namespace hickorystall::state::pool
