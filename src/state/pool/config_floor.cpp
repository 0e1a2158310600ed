#include "state/pool/config_floor.h"

namespace hickorystall::state::pool {

bool config_floor::Observe(std::int64_t version, boot_time now) {
  const bool is_new = claims_.emplace(version, now).second;
  if (claims_.size() > kMaxClaims) claims_.erase(claims_.begin());
  return is_new;
}

std::vector<std::int64_t> config_floor::EndClaims(std::int64_t own_version, boot_time fresh_at) {
  std::vector<std::int64_t> disproved;
  std::erase_if(claims_, [&](const auto& claim) {
    const auto& [version, shown_at] = claim;
    if (version <= own_version) return true;
    if (fresh_at <= shown_at + kMaxFeedLag) return false;
    disproved.push_back(version);
    return true;
  });
  return disproved;
}

}  // namespace hickorystall::state::pool
