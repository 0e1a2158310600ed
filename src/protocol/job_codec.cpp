#include "protocol/job_codec.h"

#include <algorithm>
#include <array>
#include <utility>

#include "state/json/located_json.h"
#include "state/text.h"

namespace hickorystall::protocol {

using nlohmann::json;
using state::adjacency;
using state::job_record;
using state::job_spec;
using std::chrono::milliseconds;

namespace {

constexpr std::array<std::pair<adjacency, std::string_view>, 3> kAdjacencyNames{{
    {adjacency::kNone, "none"},
    {adjacency::kRack, "rack"},
    {adjacency::kFailureDomain, "failure_domain"},
}};

constexpr int kMaxMembers = 4096;
constexpr int kMaxAcceleratorsPerMember = 1024;
constexpr int kMaxProcessors = 1 << 16;
constexpr std::int64_t kMaxMemoryMib = std::int64_t{1} << 30;
constexpr milliseconds kMaxRunTime = std::chrono::hours(24 * 60);

std::int64_t ToMillis(state::wall_time time) { return time.time_since_epoch().count(); }

state::wall_time ToWallTime(std::int64_t millis) { return state::wall_time(milliseconds(millis)); }

json SpecToJson(const job_spec& spec) {
  return {{"kind", spec.kind},
          {"members", spec.members},
          {"accelerators", spec.accelerators},
          {"processors", spec.processors},
          {"memory_mib", spec.memory_mib},
          {"adjacency", std::string(AdjacencyName(spec.placement))},
          {"run_time_ms", spec.run_time.count()},
          {"deadline_ms", spec.deadline.count()},
          {"may_wait", spec.may_wait},
          {"may_checkpoint", spec.may_checkpoint},
          {"urgent", spec.urgent}};
}

json PlacementToJson(const job_record& record) {
  json placement = json::array();
  for (const state::member_placement& member : record.placement) {
    placement.push_back({{"vm", member.vm}, {"accelerators", member.accelerators}});
  }
  return placement;
}

job_spec ReadSpec(state::object_reader& reader) {
  job_spec spec;
  std::string placement = "none";
  reader.Require("kind");
  reader.Read("kind", spec.kind);
  reader.Read("members", spec.members, 1, kMaxMembers);
  reader.Read("accelerators", spec.accelerators, 0, kMaxAcceleratorsPerMember);
  reader.Read("processors", spec.processors, 0, kMaxProcessors);
  reader.Read("memory_mib", spec.memory_mib, 0, kMaxMemoryMib);
  if (reader.Read("adjacency", placement)) {
    const absl::StatusOr<adjacency> parsed = ParseAdjacency(placement);
    if (parsed.ok()) spec.placement = *parsed;
    if (!parsed.ok()) reader.Fail("adjacency", std::string(parsed.status().message()));
  }
  reader.Read("run_time_ms", spec.run_time, milliseconds(0), kMaxRunTime);
  reader.Read("deadline_ms", spec.deadline, milliseconds(0), kMaxRunTime);
  reader.Read("may_wait", spec.may_wait);
  reader.Read("may_checkpoint", spec.may_checkpoint);
  reader.Read("urgent", spec.urgent);
  reader.Finish();
  return spec;
}

}  // namespace

std::string_view AdjacencyName(adjacency value) {
  return kAdjacencyNames[static_cast<std::size_t>(value)].second;
}

absl::StatusOr<adjacency> ParseAdjacency(std::string_view name) {
  for (const auto& [value, known_name] : kAdjacencyNames) {
    if (known_name == name) return value;
  }
  return absl::InvalidArgumentError("must be \"none\", \"rack\" or \"failure_domain\"");
}

absl::StatusOr<job_spec> ParseJobSpec(std::string_view text) {
  state::located_json document = state::ParseLocatedJson(text);
  std::vector<state::document_error> errors = document.errors;
  job_spec spec;
  if (!document.value.is_discarded()) {
    state::object_reader reader(document, document.value, "", errors);
    spec = ReadSpec(reader);
  }
  if (errors.empty()) return spec;
  std::string message;
  for (const state::document_error& error : errors) {
    message += (message.empty() ? "" : "; ") + error.ToString();
  }
  return absl::InvalidArgumentError(message);
}

json JobToJson(const job_record& record) {
  return {{"job", record.id},
          {"workspace", record.workspace},
          {"spec", SpecToJson(record.spec)},
          {"state", std::string(state::JobStateName(record.state))},
          {"submitted_at", ToMillis(record.submitted_at)},
          {"started_at", ToMillis(record.started_at)},
          {"finished_at", ToMillis(record.finished_at)},
          {"attempt", record.attempt},
          {"failures", record.failures},
          {"placement", PlacementToJson(record)},
          {"checkpoints", record.checkpoints},
          {"preserved_ms", record.preserved.count()},
          {"cancel_requested", record.cancel_requested},
          {"reason", record.reason}};
}

std::string EncodeJobRecord(const job_record& record, std::string_view writer_token) {
  json value = JobToJson(record);
  value["writer"] = std::string(writer_token);
  return value.dump();
}

absl::StatusOr<job_record> DecodeJobRecord(std::string_view text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object() || !value.contains("spec")) return absl::DataLossError("row is not a job record");
  job_record record;
  const absl::StatusOr<job_spec> spec = ParseJobSpec(value["spec"].dump());
  if (!spec.ok())
    return absl::DataLossError(state::StrCat("job record: ", std::string(spec.status().message())));
  record.spec = *spec;
  try {
    record.id = value.at("job");
    record.workspace = value.at("workspace");
    const auto state = state::ParseJobState(value.at("state").get<std::string>());
    if (!state.has_value()) return absl::DataLossError("job record: unknown state");
    record.state = *state;
    record.submitted_at = ToWallTime(value.at("submitted_at"));
    record.started_at = ToWallTime(value.at("started_at"));
    record.finished_at = ToWallTime(value.at("finished_at"));
    record.attempt = value.at("attempt");
    record.failures = value.at("failures");
    for (const json& member : value.at("placement")) {
      record.placement.push_back({member.at("vm"), member.at("accelerators").get<std::vector<int>>()});
    }
    record.checkpoints = value.at("checkpoints").get<std::vector<std::string>>();
    record.preserved = milliseconds(value.at("preserved_ms").get<std::int64_t>());
    record.cancel_requested = value.at("cancel_requested");
    record.reason = value.at("reason");
  } catch (const json::exception& error) {
    return absl::DataLossError(state::StrCat("job record: ", error.what()));
  }
  return record;
}

std::string JobPrefix(std::string_view pool) { return state::StrCat("job/", pool, "/"); }

std::string JobKey(std::string_view pool, std::string_view job_id) {
  return state::StrCat(JobPrefix(pool), job_id);
}

std::string InboxPrefix(std::string_view pool) { return state::StrCat("inbox/", pool, "/"); }

std::string InboxSubmitKey(std::string_view pool, std::string_view job_id) {
  return state::StrCat(InboxPrefix(pool), "submit/", job_id);
}

std::string InboxCancelKey(std::string_view pool, std::string_view job_id) {
  return state::StrCat(InboxPrefix(pool), "cancel/", job_id);
}

std::string PoolEpochKey(std::string_view pool) { return state::StrCat("pool/", pool, "/epoch"); }

std::string PoolRenewalKey(std::string_view pool) { return state::StrCat("pool/", pool, "/renewal"); }

std::string ClaimKey(std::string_view workspace, std::string_view idempotency_key) {
  return state::StrCat("claim/", workspace, "/", idempotency_key);
}

std::string ConfigHeadKey() { return "config/head"; }

std::string ConfigVersionKey(std::int64_t version) {
  constexpr std::size_t kDigits = 12;
  const std::string number = std::to_string(version);
  return "config/version/" + std::string(kDigits - std::min(kDigits, number.size()), '0') + number;
}

std::string InstancePrefix() { return "instance/"; }

std::string InstanceKey(std::string_view instance) { return state::StrCat(InstancePrefix(), instance); }

}  // namespace hickorystall::protocol
