#pragma once

#include <map>
#include <string>

#include "state/pool/admission/admission_projection.h"
#include "state/pool/pool_plan.h"
#include "state/pool/pool_state.h"
#include "state/windowed_rate.h"

namespace hickorystall::state::pool::admission {

/// Measures the work that is started, by service. It counts by expected run times, as the queue is.
class drain_meter {
 public:
  /// Counts the starts of `plan`, which was applied to `state` at `now`.
  void AddStarts(const pool_plan& plan, const pool_state& state, boot_time now);
  /// Returns the work started per second.
  work_amount RateOf(const std::string& service, boot_time now) const;

 private:
  // Window of the rate: a shorter one would follow single gangs.
  static constexpr std::chrono::milliseconds kWindow{2000};
  struct service_rates {
    windowed_rate<boot_time> cores{kWindow};
    windowed_rate<boot_time> accelerators{kWindow};
  };
  std::map<std::string, service_rates> services_;
};

/// Returns what new jobs have to expect. Empty while no unit waits that may start.
admission_projection ProjectAdmission(const pool_state& state, const drain_meter& drained, boot_time now,
                                      unix_time wall_now);

}  // namespace hickorystall::state::pool::admission
