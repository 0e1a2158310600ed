#pragma once

#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/config/cluster_config.h"

namespace hickorystall::state {

/// A worker with its place in the inventory.
struct worker_entry {
  /// Entry of the worker in the configuration. Not null.
  const vm_config* vm = nullptr;
  /// Index of its rack.
  int rack = 0;
};

/// The workers of a configuration as arrays, grouped by rack and failure domain. Executors are left out. The
/// configuration must outlive it.
class worker_topology {
 public:
  /// Builds the arrays in the order of the inventory.
  explicit worker_topology(const cluster_config& config);

  /// All workers, in the order of the inventory.
  const std::vector<worker_entry>& workers() const { return workers_; }
  /// Groups of workers within which a gang with constraint `placement` must stay.
  const std::vector<std::vector<int>>& scopes(adjacency placement) const;
  /// Index of the worker called `name`, or -1.
  int FindWorker(std::string_view name) const;
  /// Number of racks.
  int rack_count() const { return static_cast<int>(racks_.size()); }

 private:
  /// Workers.
  std::vector<worker_entry> workers_;
  /// Worker indices by rack.
  std::vector<std::vector<int>> racks_;
  /// Worker indices by failure domain.
  std::vector<std::vector<int>> domains_;
  /// One group with every worker.
  std::vector<std::vector<int>> everywhere_;
  /// Worker index by name.
  std::unordered_map<std::string_view, int> by_name_;
};

}  // namespace hickorystall::state
