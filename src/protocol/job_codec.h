#pragma once

#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "state/scheduling/job.h"

namespace hickorystall::protocol {

/// Returns the name of `value` in a job's JSON: "none", "rack" or "failure_domain".
std::string_view AdjacencyName(state::adjacency value);
/// Returns the adjacency called `name`. kInvalidArgument for another name.
absl::StatusOr<state::adjacency> ParseAdjacency(std::string_view name);

/// Parses a submitted job (docs/design.md, section 4.4). kInvalidArgument lists every unknown key, wrong type
/// and value out of range, each with its line.
absl::StatusOr<state::job_spec> ParseJobSpec(std::string_view text);

/// Encodes the job as a row value. `writer_token` identifies the write, so that a writer whose reply was lost
/// can tell whether it was applied.
std::string EncodeJobRecord(const state::job_record& record, std::string_view writer_token);
/// Decodes a row value. kDataLoss when it is not a job record.
absl::StatusOr<state::job_record> DecodeJobRecord(std::string_view text);
/// Returns the job in the form that callers and state dumps show.
nlohmann::json JobToJson(const state::job_record& record);

/// Keys of the rows in the table (docs/design.md, section 5).
std::string JobPrefix(std::string_view pool);
std::string JobKey(std::string_view pool, std::string_view job_id);
std::string InboxPrefix(std::string_view pool);
/// Key of the row that announces a new job to the pool's owner.
std::string InboxSubmitKey(std::string_view pool, std::string_view job_id);
/// Key of the row that asks the pool's owner to cancel a job.
std::string InboxCancelKey(std::string_view pool, std::string_view job_id);
std::string PoolEpochKey(std::string_view pool);
std::string PoolRenewalKey(std::string_view pool);
std::string ClaimKey(std::string_view workspace, std::string_view idempotency_key);
std::string ConfigHeadKey();
std::string ConfigVersionKey(std::int64_t version);
std::string InstancePrefix();
std::string InstanceKey(std::string_view instance);

}  // namespace hickorystall::protocol
