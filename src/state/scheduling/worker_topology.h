#pragma once

#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/config/cluster_config.h"

namespace hickorystall::state {

/// A worker of the inventory.
struct worker_entry {
  /// Entry of the worker in the configuration. Not null.
  const vm_config* vm = nullptr;
  /// Rack index.
  int rack = 0;
};

/// The workers of a configuration by index, grouped by rack and failure domain. Executors are omitted. The
/// configuration must outlive the topology.
class worker_topology {
 public:
  /// Assigns indices in the order of the inventory.
  explicit worker_topology(const cluster_config& config);

  /// Workers in the order of the inventory.
  const std::vector<worker_entry>& workers() const { return workers_; }
  /// Scopes of `placement`: groups of worker indices, one of which must contain all members of a gang.
  const std::vector<std::vector<int>>& scopes(adjacency placement) const;
  /// Returns the index of the worker called `name`, or -1.
  int FindWorker(std::string_view name) const;
  /// Number of racks up to the last one with a worker.
  int rack_count() const { return static_cast<int>(racks_.size()); }

 private:
  std::vector<worker_entry> workers_;
  /// Worker indices by rack index.
  std::vector<std::vector<int>> racks_;
  /// Worker indices by index of the failure domain.
  std::vector<std::vector<int>> domains_;
  /// A single group with every worker.
  std::vector<std::vector<int>> everywhere_;
  /// Worker index by name.
  std::unordered_map<std::string_view, int> by_name_;
};

}  // namespace hickorystall::state
