#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "state/pool/pool_time.h"

namespace hickorystall::state::pool {

/// The configuration versions that other VMs have shown to this one. A VM that has relayed the response of a
/// newer version must not decide a later request by its own older one.
///
/// A claim ends once this VM's configuration has that version, or once the store has shown that there is no
/// such version: a version that a peer decided by was in the store before. While the store cannot be read,
/// the VM's configuration reaches its maximum age and is not used at all. So a false claim blocks a VM that
/// reads the store for at most `kMaxFeedLag` and one read, and no VM for longer than the maximum age.
class config_floor {
 public:
  /// Time by which the change feed may lag behind the store: it may deliver nothing for a second while
  /// changes are made, and a reply without changes then looks like proof that there are none.
  static constexpr std::chrono::milliseconds kMaxFeedLag{2000};
  /// Maximum number of claims. The lowest are dropped first, since a higher one forbids the same.
  static constexpr std::size_t kMaxClaims = 8;

  /// Records that a peer showed configuration `version` at `now`. Returns whether the claim is new.
  bool Observe(std::int64_t version, boot_time now);
  /// Ends the claims that the VM's configuration `own_version`, known to have been the newest at `fresh_at`,
  /// has reached or disproves. Returns the versions that it disproves.
  std::vector<std::int64_t> EndClaims(std::int64_t own_version, boot_time fresh_at);
  /// Returns the lowest version by which this VM may decide; 0 without a claim.
  std::int64_t version() const { return claims_.empty() ? 0 : claims_.rbegin()->first; }

 private:
  // Time at which each version was first shown.
  std::map<std::int64_t, boot_time> claims_;
};

}  // namespace hickorystall::state::pool
