#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "state/config/cluster_config.h"
#include "state/json/located_json.h"

namespace hickorystall::state {

/// Result of parsing a configuration document.
struct config_parse_result {
  /// Only valid when `complete` is true.
  cluster_config config;
  /// True when the whole document was read, so that the only possible errors are those of ValidateCapacity.
  bool complete = false;
  /// Every error found, ordered by line.
  std::vector<document_error> errors;
};

/// Parses and validates a configuration document: JSON with comments that contains the inventory and the
/// rules (docs/design.md, section 4.6). A document with any error is invalid as a whole.
config_parse_result ParseClusterConfig(std::string_view text);

}  // namespace hickorystall::state
