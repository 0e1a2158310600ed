#include "programs/admin/admin_json.h"

#include <algorithm>

#include "protocol/error_response.h"
#include "protocol/job_codec.h"
#include "state/text.h"

namespace hickorystall::programs::admin {

using nlohmann::json;
using state::error_kind;

json ToJson(const std::vector<state::document_error>& errors) {
  json result = json::array();
  for (const state::document_error& error : errors) {
    result.push_back({{"line", error.line}, {"key", error.key}, {"message", error.message}});
  }
  return result;
}

json ToJson(const state::change_report& report) {
  json lost = json::array();
  for (const state::lost_guarantee& guarantee : report.lost_guarantees) {
    lost.push_back({{"workspace", guarantee.workspace},
                    {"members", guarantee.shape.members},
                    {"accelerators", guarantee.shape.accelerators},
                    {"adjacency", std::string(protocol::AdjacencyName(guarantee.shape.placement))},
                    {"held_before", !guarantee.was_lost}});
  }
  json shrunk = json::array();
  for (const state::shrunk_shape& shape : report.shrunk_shapes) {
    shrunk.push_back({{"accelerators", shape.accelerators},
                      {"adjacency", std::string(protocol::AdjacencyName(shape.placement))},
                      {"largest_before", shape.largest_before},
                      {"largest_after", shape.largest_after}});
  }
  return {{"vms_added", report.vms_added},
          {"vms_removed", report.vms_removed},
          {"vms_drained", report.vms_drained},
          {"vms_undrained", report.vms_undrained},
          {"workspaces_removed", report.workspaces_removed},
          {"kinds_removed", report.kinds_removed},
          {"guarantees_that_do_not_fit", lost},
          {"shapes_that_shrink", shrunk}};
}

json ToJson(const coordination::config_entry& entry) {
  return {{"version", entry.version},
          {"base", entry.base},
          {"operator", entry.operator_name},
          {"instance", entry.instance},
          {"accepted_at_ms", entry.accepted_at_ms},
          {"bytes", entry.bytes},
          {"digest", entry.digest}};
}

json ToJson(const coordination::peer_info& peer, std::chrono::steady_clock::time_point now, bool is_live) {
  const auto since_contact = std::chrono::duration_cast<std::chrono::milliseconds>(now - peer.last_contact);
  return {{"instance", peer.instance},
          {"role", peer.role},
          {"vm", peer.vm},
          {"config_version", peer.config_version},
          {"ready", peer.ready},
          {"live", is_live},
          {"silent_ms", std::max<std::int64_t>(since_contact.count(), 0)}};
}

transport::http_response MakeInvalidConfigurationResponse(const std::vector<state::document_error>& errors) {
  transport::http_response response = protocol::MakeErrorResponse(
      error_kind::kInvalidConfiguration,
      state::StrCat("the document has ", errors.size(), " errors; the first: ", errors.front().ToString()));
  json body = json::parse(response.body);
  body["valid"] = false;
  body["errors"] = ToJson(errors);
  response.body = body.dump();
  return response;
}

transport::http_response MakeStoreFailureResponse(const absl::Status& status) {
  const std::string message(status.message());
  switch (status.code()) {
    case absl::StatusCode::kAborted:
      return protocol::MakeErrorResponse(error_kind::kVersionConflict, message);
    case absl::StatusCode::kNotFound:
      return protocol::MakeErrorResponse(error_kind::kNotFound, message);
    case absl::StatusCode::kUnknown:
      return protocol::MakeErrorResponse(
          error_kind::kOutcomeUnknown,
          "the store did not confirm the change; check the history before retrying");
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kDeadlineExceeded:
      return protocol::MakeErrorResponse(error_kind::kStoreUnavailable, message);
    default:
      return protocol::MakeErrorResponse(error_kind::kInternal, message);
  }
}

}  // namespace hickorystall::programs::admin
