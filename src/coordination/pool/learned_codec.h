#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "state/pool/learning/learned_state.h"

namespace hickorystall::coordination::pool {

/// Returns the stored form of `learned` in at most `max_bytes`. What does not fit is left out: the groups
/// whose latest run is the oldest, then workers.
std::string EncodeLearned(const state::pool::learning::learned_state& learned, std::size_t max_bytes);

/// Returns nullopt if `text` is not readable or of another version. Single entries that are not readable are
/// left out.
std::optional<state::pool::learning::learned_state> DecodeLearned(std::string_view text);

}  // namespace hickorystall::coordination::pool
