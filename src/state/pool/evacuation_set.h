#pragma once

#include <map>
#include <string>

#include "state/pool/pool_time.h"

namespace hickorystall::state::pool {

/// Failure domains that the operator has evacuated: nothing may start on their workers.
struct evacuation_set {
  /// Time at which this VM learned of the evacuation, by name of the domain. Names that no worker has are
  /// kept, since a worker of that domain may register later.
  std::map<std::string, boot_time> domains;

  bool operator==(const evacuation_set&) const = default;
};

}  // namespace hickorystall::state::pool
