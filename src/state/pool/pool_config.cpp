#include "state/pool/pool_config.h"

#include <algorithm>

namespace hickorystall::state::pool {

const queue_rules* pool_config::FindQueue(std::string_view host, std::string_view path) const {
  const queue_rules* best = nullptr;
  for (const queue_rules& queue : queues) {
    if (queue.host != host || !path.starts_with(queue.prefix)) continue;
    if (best == nullptr || queue.prefix.size() > best->prefix.size()) best = &queue;
  }
  return best;
}

const queue_rules* pool_config::FindQueueByName(std::string_view name) const {
  const auto found = std::find_if(queues.begin(), queues.end(),
                                  [name](const queue_rules& queue) { return queue.name == name; });
  return found == queues.end() ? nullptr : &*found;
}

const workspace_rules* pool_config::FindWorkspaceByCredential(std::string_view credential) const {
  for (const workspace_rules& workspace : workspaces) {
    const auto& known = workspace.credentials;
    if (std::find(known.begin(), known.end(), credential) != known.end()) return &workspace;
  }
  return nullptr;
}

const workspace_rules* pool_config::FindWorkspace(std::string_view name) const {
  const auto found =
      std::find_if(workspaces.begin(), workspaces.end(),
                   [name](const workspace_rules& workspace) { return workspace.name == name; });
  return found == workspaces.end() ? nullptr : &*found;
}

}  // namespace hickorystall::state::pool
