#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "state/config/cluster_config.h"
#include "state/json/located_json.h"

namespace hickorystall::state {

/// Result of parsing a configuration document.
struct config_parse_result {
  /// The configuration; only meaningful when `complete` is true.
  cluster_config config;
  /// True when the document was read completely, so that `errors` holds at most guarantees that do not fit.
  bool complete = false;
  /// Every error found, in the order of the document.
  std::vector<document_error> errors;
};

/// Parses and validates an inventory with rules (docs/design.md, section 4.6), JSON with comments. The whole
/// document is refused when there is an error.
config_parse_result ParseClusterConfig(std::string_view text);

}  // namespace hickorystall::state
