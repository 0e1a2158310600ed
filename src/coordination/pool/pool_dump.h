#pragma once

#include <string>

#include "coordination/pool/ownership.h"
#include "state/pool/pool_state.h"

namespace hickorystall::coordination::pool {

/// Returns the state of a VM as JSON: its ownership and, on the owner, every worker and every job that is not
/// final or still has active units. `state` is null on a VM that is not the owner.
std::string DumpPool(const ownership& owner, const state::pool::pool_state* state);

}  // namespace hickorystall::coordination::pool
