#pragma once

#include <vector>

#include "state/config/cluster_config.h"
#include "state/json/located_json.h"

namespace hickorystall::state {

/// Adds an error for each invalid or duplicate name and address, each invalid token hash, each VM in two
/// racks and each reference to an unknown rack or failure domain. Empty names are skipped: they stand for
/// missing values or values of a wrong type, which the parser has reported.
void ValidateReferences(const cluster_config& config, const located_json& document,
                        std::vector<document_error>& errors);

/// Adds an error for each workspace whose guarantees exceed its limit, and for each guarantee that does not
/// fit the inventory together with the others. Drained VMs count as capacity, because a drain is temporary
/// and must not block other changes.
void ValidateCapacity(const cluster_config& config, const located_json& document,
                      std::vector<document_error>& errors);

}  // namespace hickorystall::state
