#include "state/config/config_parser.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include "state/config/config_validation.h"
#include "state/text.h"

namespace hickorystall::state {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kMaxProcessors = 1 << 16;
constexpr std::int64_t kMaxMemoryMib = std::int64_t{1} << 30;
constexpr int kMaxAccelerators = 1024;
constexpr int kMaxMembers = 4096;
constexpr int kMaxSlots = 1 << 16;
constexpr double kMaxRequestRate = 1e9;
constexpr milliseconds kMaxTimeout = std::chrono::hours(24);
constexpr std::int64_t kMaxBodyBytes = std::int64_t{1} << 30;
constexpr int kMaxJobs = 10'000'000;

template <typename T, std::size_t N>
using name_table = std::array<std::pair<std::string_view, T>, N>;

constexpr name_table<adjacency, 3> kAdjacencies{{
    {"none", adjacency::kNone},
    {"rack", adjacency::kRack},
    {"failure_domain", adjacency::kFailureDomain},
}};
constexpr name_table<vm_kind, 2> kVmKinds{{
    {"worker", vm_kind::kWorker},
    {"executor", vm_kind::kExecutor},
}};
constexpr name_table<work_class, 2> kWorkClasses{{
    {"request", work_class::kRequest},
    {"job", work_class::kJob},
}};
constexpr name_table<priority, 3> kPriorities{{
    {"urgent", priority::kUrgent},
    {"normal", priority::kNormal},
    {"patient", priority::kPatient},
}};

// Reads a required, non-empty string.
void ReadText(object_reader& reader, std::string_view key, std::string& out) {
  reader.Require(key);
  if (reader.Read(key, out) && out.empty()) reader.Fail(key, "must not be empty");
}

// Reads a string that must be one of the names in `table` and stores the value that belongs to it.
template <typename T, std::size_t N>
void ReadName(object_reader& reader, std::string_view key, const name_table<T, N>& table, T& out) {
  std::string name;
  if (!reader.Read(key, name)) return;
  std::string known;
  for (const auto& [entry, value] : table) {
    if (entry == name) {
      out = value;
      return;
    }
    known += StrCat(known.empty() ? "" : ", ", '"', entry, '"');
  }
  reader.Fail(key, StrCat("must be one of ", known));
}

// The document being read and the errors found so far.
struct parse_context {
  const located_json& document;
  std::vector<document_error>& errors;
};

rack_config ReadRack(object_reader& reader) {
  rack_config rack;
  ReadText(reader, "name", rack.name);
  ReadText(reader, "failure_domain", rack.failure_domain);
  return rack;
}

vm_config ReadVm(object_reader& reader) {
  vm_config vm;
  ReadText(reader, "name", vm.name);
  ReadText(reader, "address", vm.address);
  ReadText(reader, "rack", vm.rack);
  reader.Require("kind");
  ReadName(reader, "kind", kVmKinds, vm.kind);
  if (vm.kind == vm_kind::kWorker) {
    reader.Require("processors");
    reader.Require("memory_mib");
  }
  reader.Read("processors", vm.processors, 0, kMaxProcessors);
  reader.Read("memory_mib", vm.memory_mib, 0, kMaxMemoryMib);
  reader.Read("accelerators", vm.accelerators, 0, kMaxAccelerators);
  reader.Read("slots", vm.slots, 1, kMaxSlots);
  reader.Read("connections", vm.connections, 1, kMaxSlots);
  reader.Read("drained", vm.drained);
  return vm;
}

guaranteed_shape ReadGuarantee(object_reader& reader) {
  guaranteed_shape shape;
  reader.Require("accelerators");
  reader.Read("members", shape.members, 1, kMaxMembers);
  reader.Read("accelerators", shape.accelerators, 0, kMaxAccelerators);
  ReadName(reader, "adjacency", kAdjacencies, shape.placement);
  return shape;
}

// Reads each element of the array `key` with `read`. An element that is not an object still gets an entry in
// the result, so that the indices in the result match the paths in the document.
template <typename T>
std::vector<T> ReadObjects(const parse_context& context, object_reader& parent, std::string_view key,
                           T (*read)(object_reader&)) {
  std::vector<T> items;
  parent.ReadArray(key, [&](const json& element, const std::string& path) {
    object_reader reader(context.document, element, path, context.errors);
    items.push_back(read(reader));
    reader.Finish();
  });
  return items;
}

std::vector<workspace_config> ReadWorkspaces(const parse_context& context, object_reader& parent) {
  std::vector<workspace_config> workspaces;
  parent.ReadArray("workspaces", [&](const json& element, const std::string& path) {
    object_reader reader(context.document, element, path, context.errors);
    workspace_config workspace;
    ReadText(reader, "name", workspace.name);
    ReadText(reader, "token_sha256", workspace.token_sha256);
    workspace.guarantees = ReadObjects(context, reader, "guarantees", ReadGuarantee);
    reader.Read("max_accelerators", workspace.max_accelerators, 0, 1 << 20);
    reader.Read("request_rate", workspace.request_rate, 0, kMaxRequestRate);
    reader.Read("request_burst", workspace.request_burst, 0, kMaxRequestRate);
    reader.Finish();
    workspaces.push_back(std::move(workspace));
  });
  return workspaces;
}

work_kind ReadKind(object_reader& reader) {
  work_kind kind;
  ReadText(reader, "name", kind.name);
  reader.Require("kind");
  ReadName(reader, "kind", kWorkClasses, kind.kind);
  reader.Read("idempotent", kind.idempotent);
  reader.Read("may_wait", kind.may_wait);
  ReadName(reader, "priority", kPriorities, kind.level);
  reader.Read("timeout_ms", kind.timeout, milliseconds(1), kMaxTimeout);
  reader.Read("max_attempts", kind.max_attempts, 1, 100);
  reader.Read("max_queue_ms", kind.max_queue, milliseconds(0), kMaxTimeout);
  return kind;
}

void ReadInventory(const parse_context& context, const json& value, cluster_config& config) {
  object_reader reader(context.document, value, "inventory", context.errors);
  // An absent list means an empty list. A misspelt key is reported as unknown.
  reader.Read("failure_domains", config.failure_domains);
  config.racks = ReadObjects(context, reader, "racks", ReadRack);
  config.vms = ReadObjects(context, reader, "vms", ReadVm);
  config.workspaces = ReadWorkspaces(context, reader);
  reader.Finish();
}

void ReadLimits(const parse_context& context, const json& value, limits_config& limits) {
  object_reader reader(context.document, value, "rules.limits", context.errors);
  reader.Read("max_body_bytes", limits.max_body_bytes, 1, kMaxBodyBytes);
  reader.Read("max_jobs_per_workspace", limits.max_jobs_per_workspace, 1, kMaxJobs);
  reader.Finish();
}

void ReadRules(const parse_context& context, const json& value, cluster_config& config) {
  object_reader reader(context.document, value, "rules", context.errors);
  config.kinds = ReadObjects(context, reader, "kinds", ReadKind);
  if (const json* limits = reader.Member("limits"); limits != nullptr) {
    ReadLimits(context, *limits, config.limits);
  }
  reader.Finish();
}

void ReadDocument(const parse_context& context, cluster_config& config) {
  object_reader reader(context.document, context.document.value, "", context.errors);
  for (const char* key : {"inventory", "rules"}) reader.Require(key);
  if (const json* inventory = reader.Member("inventory"); inventory != nullptr) {
    ReadInventory(context, *inventory, config);
  }
  if (const json* rules = reader.Member("rules"); rules != nullptr) ReadRules(context, *rules, config);
  reader.Finish();
}

}  // namespace

config_parse_result ParseClusterConfig(std::string_view text) {
  const located_json document = ParseLocatedJson(text);
  config_parse_result result;
  result.errors = document.errors;
  if (document.value.is_discarded()) return result;
  ReadDocument({document, result.errors}, result.config);
  // Guarantees can only be validated against a complete inventory.
  ValidateReferences(result.config, document, result.errors);
  result.complete = result.errors.empty();
  if (result.complete) ValidateCapacity(result.config, document, result.errors);
  std::stable_sort(
      result.errors.begin(), result.errors.end(),
      [](const document_error& left, const document_error& right) { return left.line < right.line; });
  return result;
}

}  // namespace hickorystall::state
