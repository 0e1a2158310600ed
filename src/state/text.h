#pragma once

#include <string>
#include <string_view>
#include <type_traits>

namespace hickorystall::state {

/// Appends `piece` to `out`: text unchanged, a number in decimal.
template <typename T>
void AppendPiece(std::string& out, const T& piece) {
  if constexpr (std::is_arithmetic_v<T> && !std::is_same_v<T, char>) {
    out += std::to_string(piece);
  } else if constexpr (std::is_same_v<T, char>) {
    out += piece;
  } else {
    out += std::string_view(piece);
  }
}

/// Returns the concatenation of `pieces`. Replaces absl::StrCat, which does not accept std::string_view
/// because Debian builds Abseil with its own string_view type.
template <typename... T>
std::string StrCat(const T&... pieces) {
  std::string result;
  (AppendPiece(result, pieces), ...);
  return result;
}

}  // namespace hickorystall::state
