#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hickorystall::transport {

/// Header fields in the order in which they are sent.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of the field `name`, compared without case, or an empty view.
std::string_view FindHeader(const header_list& headers, std::string_view name);

/// An HTTP request.
struct http_request {
  /// Method, such as "GET".
  std::string method = "GET";
  /// Path and query, such as "/v1/jobs?wait_ms=10".
  std::string target = "/";
  /// Header fields except Host, Content-Length and Connection, which the sender adds.
  header_list headers;
  std::string body;

  /// Returns the path without the query.
  std::string_view path() const;
  /// Returns the decoded value of the query parameter `name`, or an empty string.
  std::string QueryParameter(std::string_view name) const;
  /// Returns the first value of the field `name`, or an empty view.
  std::string_view Header(std::string_view name) const { return FindHeader(headers, name); }
};

/// An HTTP response.
struct http_response {
  /// Status code.
  int status = 200;
  /// Header fields except Content-Length and Connection, which the sender adds.
  header_list headers;
  std::string body;

  /// Returns the first value of the field `name`, or an empty view.
  std::string_view Header(std::string_view name) const { return FindHeader(headers, name); }
};

/// Returns a response with the JSON text `body`.
http_response JsonResponse(int status, std::string body);

/// Parts of an "ip:port" endpoint.
struct endpoint_parts {
  /// IP address; its syntax is not checked. Empty when the endpoint is invalid.
  std::string ip;
  /// TCP port, 1 to 65535; 0 when the endpoint is invalid.
  int port = 0;
};
/// Parses "ip:port".
endpoint_parts ParseEndpoint(std::string_view text);

/// Encodes `text` for one path segment or query value (RFC 3986).
std::string PercentEncode(std::string_view text);
/// Decodes percent escapes. A malformed escape is left unchanged.
std::string PercentDecode(std::string_view text);

}  // namespace hickorystall::transport
