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

/// Returns the errors as an array of line, key and message.
nlohmann::json ToJson(const std::vector<state::document_error>& errors);
/// Returns the effect of a change.
nlohmann::json ToJson(const state::change_report& report);
/// Returns one line of the history, without the document.
nlohmann::json ToJson(const coordination::config_entry& entry);
/// Returns one line of the status.
nlohmann::json ToJson(const coordination::peer_info& peer, std::chrono::steady_clock::time_point now,
                      bool is_live);
/// Returns the refusal of an invalid document, with every error.
transport::http_response InvalidConfiguration(const std::vector<state::document_error>& errors);
/// Returns the answer to a failed read or write of the configuration.
transport::http_response StoreFailure(const absl::Status& status);

}  // namespace hickorystall::programs::admin
