#include "transport/http_message.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <charconv>

namespace hickorystall::transport {
namespace {

int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

std::string_view FindHeader(const header_list& headers, std::string_view name) {
  const auto same = [](char a, char b) { return absl::ascii_tolower(a) == absl::ascii_tolower(b); };
  for (const auto& [key, value] : headers) {
    if (std::equal(key.begin(), key.end(), name.begin(), name.end(), same)) return value;
  }
  return {};
}

std::string_view http_request::path() const {
  const std::string_view whole = target;
  return whole.substr(0, whole.find('?'));
}

std::string http_request::QueryParameter(std::string_view name) const {
  const std::size_t start = target.find('?');
  if (start == std::string::npos) return {};
  std::string_view rest = std::string_view(target).substr(start + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return PercentDecode(pair.substr(equals + 1));
    }
  }
  return {};
}

http_response JsonResponse(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

endpoint_parts ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  int port = 0;
  if (colon == std::string_view::npos || colon == 0) return {};
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end || port < 1 || port > 65535) return {};
  return {std::string(text.substr(0, colon)), port};
}

std::string PercentEncode(std::string_view text) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string result;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (absl::ascii_isalnum(byte) || c == '-' || c == '.' || c == '_' || c == '~') {
      result += c;
    } else {
      result += '%';
      result += kDigits[byte >> 4];
      result += kDigits[byte & 15];
    }
  }
  return result;
}

std::string PercentDecode(std::string_view text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size() && HexValue(text[i + 1]) >= 0;
    if (escape && HexValue(text[i + 2]) >= 0) {
      result += static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

}  // namespace hickorystall::transport
