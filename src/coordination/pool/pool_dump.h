#pragma once

#include <string>

#include "coordination/pool/ownership.h"
#include "state/pool/pool_state.h"

namespace hickorystall::coordination::pool {

/// State dump of a VM as JSON: its ownership and, on the owner, every worker and every job that is not final.
/// `state` is null elsewhere.
std::string DumpPool(const ownership& owner, const state::pool::pool_state* state);

}  // namespace hickorystall::coordination::pool
