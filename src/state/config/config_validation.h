#pragma once

#include <vector>

#include "state/config/cluster_config.h"
#include "state/json/located_json.h"

namespace hickorystall::state {

/// Adds an error for each name, address, token hash or reference of `config` that is not valid by itself:
/// duplicates, a VM in two racks, an unknown rack or failure domain. Empty names left by values of a wrong
/// type are passed over, because those were reported already.
void ValidateReferences(const cluster_config& config, const located_json& document,
                        std::vector<document_error>& errors);

/// Adds an error for each guarantee that exceeds its workspace's limit or that does not fit the inventory
/// beside the others. Drained VMs count as capacity: a drain is temporary and must not block other changes.
void ValidateCapacity(const cluster_config& config, const located_json& document,
                      std::vector<document_error>& errors);

}  // namespace hickorystall::state
