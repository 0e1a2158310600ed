#pragma once

#include <chrono>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "state/pool/admission/admission_projection.h"
#include "state/pool/pool_time.h"

namespace hickorystall::coordination::pool {

/// A projection and what is needed to use it.
struct admission_view {
  state::pool::admission::admission_projection projection;
  /// The projection was made at this time or later. Zero if that is unknown.
  state::pool::boot_time made_at{};
};

/// A projection as a row of the store carries it.
struct stored_projection {
  state::pool::admission::admission_projection projection;
  /// Age of the projection when the row was sent.
  std::chrono::milliseconds age{0};
};

/// Maximum size of an encoded projection, in bytes.
inline constexpr std::size_t kMaxProjectionBytes = 500;

/// Encodes a projection of age `age`. Leaves out services, the shortest waits first, and workspaces if it
/// would be too large; jobs of these are then accepted.
nlohmann::json EncodeProjection(const state::pool::admission::admission_projection& projection,
                                std::chrono::milliseconds age);
/// Decodes a projection. An unreadable one is empty, and unreadable entries are left out.
stored_projection DecodeProjection(const nlohmann::json& value);

}  // namespace hickorystall::coordination::pool
