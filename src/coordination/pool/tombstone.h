#pragma once

#include <string>
#include <string_view>

namespace hickorystall::coordination::pool {

/// A tombstone is a row that keeps a job id from being submitted by a workspace. It is written when a job is
/// cancelled that is not known: a write of its submission may still be on its way to the store. The
/// submission has the absence of the tombstone as a condition and the tombstone that of the job, so exactly
/// one of the two is applied.

/// Returns the key of the tombstone of job `id` for `workspace`, which is empty for a caller without a
/// workspace. One workspace cannot block the ids of another.
std::string TombstoneKey(std::string_view id, std::string_view workspace);

/// Encodes the value of the tombstone of job `id` for `workspace`.
std::string EncodeTombstone(std::string_view id, std::string_view workspace);

}  // namespace hickorystall::coordination::pool
