#pragma once

namespace hickorystall::state::pool::admission {

/// What the operator chooses about admission.
struct admission_settings {
  /// True if jobs that cannot be served in time are refused. While it is false, the owner projects nothing.
  bool refuse_overload = false;
};

}  // namespace hickorystall::state::pool::admission
