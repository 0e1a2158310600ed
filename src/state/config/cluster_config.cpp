#include "state/config/cluster_config.h"

#include <algorithm>

namespace hickorystall::state {
namespace {

template <typename T>
const T* FindByName(const std::vector<T>& items, std::string_view name) {
  const auto found =
      std::find_if(items.begin(), items.end(), [&](const T& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

const workspace_config* cluster_config::FindWorkspace(std::string_view name) const {
  return FindByName(workspaces, name);
}

const work_kind* cluster_config::FindKind(std::string_view name) const { return FindByName(kinds, name); }

const vm_config* cluster_config::FindVm(std::string_view name) const { return FindByName(vms, name); }

const rack_config* cluster_config::FindRack(std::string_view name) const { return FindByName(racks, name); }

}  // namespace hickorystall::state
