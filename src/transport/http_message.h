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
  /// Path with query, such as "/v1/jobs?wait_ms=10".
  std::string target = "/";
  /// Fields besides Host, Content-Length and Connection.
  header_list headers;
  /// Whole body.
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
  /// Fields besides Content-Length and Connection.
  header_list headers;
  /// Whole body.
  std::string body;

  /// Returns the first value of the field `name`, or an empty view.
  std::string_view Header(std::string_view name) const { return FindHeader(headers, name); }
};

/// Returns a response with a JSON body.
http_response JsonResponse(int status, std::string body);

/// Splits "ip:port"; the port is 0 when the text is not valid.
struct endpoint_parts {
  /// IP number.
  std::string ip;
  /// TCP port, 1 to 65535.
  int port = 0;
};
/// Parses "ip:port".
endpoint_parts ParseEndpoint(std::string_view text);

/// Encodes `text` for one path segment or query value (RFC 3986).
std::string PercentEncode(std::string_view text);
/// Decodes percent escapes; a malformed escape is kept as it is.
std::string PercentDecode(std::string_view text);

}  // namespace hickorystall::transport
