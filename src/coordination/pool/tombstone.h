#pragma once

#include <string>
#include <string_view>

namespace hickorystall::coordination::pool {

/// A tombstone is a row that keeps a job id from being submitted by a workspace. It is written when a job is
/// cancelled that is not known: a write of its submission may still be on its way to the store. The
/// submission has the absence of the tombstone as a condition and the tombstone that of the job, so exactly
/// one of the two is applied.
///
/// The tombstone of a refusal, for overload, rules out earlier attempts only. A submission that began after
/// it was written removes it with its version as a condition. Each refusal writes it anew, so that an attempt
/// with the earlier version as a condition fails too. A VM of a version of the program without refusals takes
/// it for one of a cancellation.

/// Returns the key of the tombstone of job `id` for `workspace`, which is empty for a caller without a
/// workspace. One workspace cannot block the ids of another.
std::string TombstoneKey(std::string_view id, std::string_view workspace);

/// Encodes the value of the tombstone of job `id` for `workspace`.
std::string EncodeTombstone(std::string_view id, std::string_view workspace);

/// Encodes the value of the tombstone of a refusal.
std::string EncodeRefusal(std::string_view id, std::string_view workspace);

/// Returns whether `value` is that of the tombstone of a refusal. An unreadable one counts as a cancellation.
bool IsRefusal(std::string_view value);

}  // namespace hickorystall::coordination::pool
