#pragma once

#include <chrono>
#include <string>

#include "state/pool/admission/admission_projection.h"
#include "state/pool/job_entry.h"

namespace hickorystall::state::pool::admission {

/// Constants of the decision.
struct admission_rules {
  /// Age from which on a projection is not used: five renewals of the lease that carries it.
  std::chrono::milliseconds max_age{1500};
  /// Share of the projected wait that is assumed. The projection knows run times only within a factor of two.
  double optimistic_share = 0.5;
  /// Multiple of its objective up to which a job is of value to its caller.
  double objective_factor = 3;
  /// Range of the time to retry, without the spread. A shorter one would return before the next projection; a
  /// longer one would leave capacity unused that frees up early.
  std::chrono::milliseconds min_retry{1000};
  std::chrono::milliseconds max_retry{30'000};
};

/// Decision on one submission, with the values that it is based on.
struct admission_decision {
  bool refused = false;
  /// Projected wait for the first start, and the optimistic wait that would still be of value.
  std::chrono::milliseconds wait{0};
  std::chrono::milliseconds limit{0};
  /// When the caller should retry; set for a refusal.
  std::chrono::milliseconds retry_after{0};
};

/// Decides whether a new job is accepted, by a projection of age `age`. Refuses only a job that even an
/// optimistic reading cannot start early enough to be of value, and none that fits into free capacity.
admission_decision DecideAdmission(const admission_projection& projection, std::chrono::milliseconds age,
                                   const job_submission& job, const admission_rules& rules = {});

}  // namespace hickorystall::state::pool::admission
