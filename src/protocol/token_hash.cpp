#include "protocol/token_hash.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/string_view.h>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <cassert>

namespace hickorystall::protocol {

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest.data()), digest.size()));
}

bool TokenMatches(std::string_view token, std::string_view expected_hex) {
  const std::string actual = Sha256Hex(token);
  return expected_hex.size() == actual.size() &&
         CRYPTO_memcmp(actual.data(), expected_hex.data(), actual.size()) == 0;
}

std::string_view BearerToken(std::string_view authorization) {
  constexpr std::string_view kScheme = "Bearer ";
  const bool is_bearer =
      absl::EqualsIgnoreCase(std::string(authorization.substr(0, kScheme.size())), std::string(kScheme));
  if (!is_bearer) return {};
  return authorization.substr(kScheme.size());
}

std::string RandomId() {
  std::array<unsigned char, 16> bytes;
  const int filled = RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  assert(filled == 1);
  (void)filled;
  return absl::BytesToHexString(absl::string_view(reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

}  // namespace hickorystall::protocol
