#pragma once

#include <string>
#include <string_view>

namespace hickorystall::protocol {

/// Returns the SHA-256 of `text` as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view text);

/// True when the SHA-256 of `token` is `expected_hex`. Takes the same time for every token of one length.
bool TokenMatches(std::string_view token, std::string_view expected_hex);

/// Returns the token of an "Authorization: Bearer TOKEN" field value, or an empty view.
std::string_view BearerToken(std::string_view authorization);

/// Returns 128 random bits as hexadecimal digits, for identifiers and writer tokens.
std::string RandomId();

}  // namespace hickorystall::protocol
