#pragma once

#include <string>
#include <string_view>

namespace hickorystall::protocol {

/// Returns the SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// True when the SHA-256 of `token` is `expected_hex`. Takes constant time for tokens of the same length.
bool TokenMatches(std::string_view token, std::string_view expected_hex);

/// Returns TOKEN from the value "Bearer TOKEN" of an Authorization header, or an empty view for another
/// scheme.
std::string_view BearerToken(std::string_view authorization);

/// Returns 128 cryptographically random bits as hexadecimal digits, for identifiers and writer tokens.
std::string RandomId();

}  // namespace hickorystall::protocol
