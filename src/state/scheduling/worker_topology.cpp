#include "state/scheduling/worker_topology.h"

namespace hickorystall::state {
namespace {

/// Returns the index of `name`; a new name gets the next free index.
int IndexOf(std::unordered_map<std::string_view, int>& indices, std::string_view name) {
  return indices.try_emplace(name, static_cast<int>(indices.size())).first->second;
}

/// Returns the group at `index`; adds empty groups up to it when needed.
std::vector<int>& GroupAt(std::vector<std::vector<int>>& groups, int index) {
  if (index >= static_cast<int>(groups.size())) groups.resize(index + 1);
  return groups[index];
}

}  // namespace

worker_topology::worker_topology(const cluster_config& config) : everywhere_(1) {
  std::unordered_map<std::string_view, int> rack_indices;
  std::unordered_map<std::string_view, int> domain_indices;
  std::vector<int> domain_of_rack;
  for (const rack_config& rack : config.racks) {
    IndexOf(rack_indices, rack.name);
    domain_of_rack.push_back(IndexOf(domain_indices, rack.failure_domain));
  }
  for (const vm_config& vm : config.vms) {
    if (vm.kind != vm_kind::kWorker) continue;
    const auto rack = rack_indices.find(vm.rack);
    if (rack == rack_indices.end()) continue;
    const int index = static_cast<int>(workers_.size());
    workers_.push_back({&vm, rack->second});
    by_name_.emplace(vm.name, index);
    everywhere_[0].push_back(index);
    GroupAt(racks_, rack->second).push_back(index);
    GroupAt(domains_, domain_of_rack[rack->second]).push_back(index);
  }
}

const std::vector<std::vector<int>>& worker_topology::scopes(adjacency placement) const {
  if (placement == adjacency::kRack) return racks_;
  return placement == adjacency::kFailureDomain ? domains_ : everywhere_;
}

int worker_topology::FindWorker(std::string_view name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? -1 : found->second;
}

}  // namespace hickorystall::state
