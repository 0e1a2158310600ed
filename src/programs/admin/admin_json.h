#pragma once

#include <absl/status/status.h>

#include <nlohmann/json.hpp>
#include <vector>

#include "coordination/config_store.h"
#include "coordination/peer_table.h"
#include "state/config/change_report.h"
#include "state/json/located_json.h"
#include "transport/http_message.h"

namespace hickorystall::programs::admin {

/// Returns an array of objects with line, key and message.
nlohmann::json ToJson(const std::vector<state::document_error>& errors);
/// Returns the effect of a configuration change.
nlohmann::json ToJson(const state::change_report& report);
/// Returns one entry of the configuration history, without the document.
nlohmann::json ToJson(const coordination::config_entry& entry);
/// Returns one instance of the status response.
nlohmann::json ToJson(const coordination::peer_info& peer, std::chrono::steady_clock::time_point now,
                      bool is_live);
/// Returns the error response for an invalid document. Lists all errors; `errors` must not be empty.
transport::http_response MakeInvalidConfigurationResponse(const std::vector<state::document_error>& errors);
/// Maps a failed read or write of the configuration to an error response.
transport::http_response MakeStoreFailureResponse(const absl::Status& status);

}  // namespace hickorystall::programs::admin
