#include "protocol/error_response.h"

#include <nlohmann/json.hpp>

namespace hickorystall::protocol {

using state::error_kind;

transport::http_response MakeErrorResponse(error_kind kind, std::string_view message,
                                           std::string_view outcome_url) {
  const state::error_info& properties = state::ErrorInfoFor(kind);
  nlohmann::json error = {{"kind", std::string(properties.name)},
                          {"ran", std::string(state::ExecutionName(properties.ran))},
                          {"message", std::string(message)},
                          {"retry_after_ms", properties.retry_after.count()}};
  if (!outcome_url.empty()) error["outcome_url"] = std::string(outcome_url);
  return transport::JsonResponse(properties.http_status, nlohmann::json{{"error", error}}.dump());
}

transport::http_response MakeReadFailureResponse(transport::read_failure failure) {
  switch (failure) {
    case transport::read_failure::kBodyTooLarge:
      return MakeErrorResponse(error_kind::kBodyTooLarge, "the request body is larger than the limit");
    case transport::read_failure::kHeadersTooLarge:
      return MakeErrorResponse(error_kind::kHeadersTooLarge, "the header section is larger than the limit");
    case transport::read_failure::kTooSlow:
      return MakeErrorResponse(error_kind::kRequestTimeout,
                               "the request was not received completely in time");
    case transport::read_failure::kOverloaded: {
      transport::http_response response = MakeErrorResponse(
          error_kind::kOverloaded, "the request was not read for lack of memory or connections");
      response.headers.emplace_back("Retry-After", "1");
      return response;
    }
    case transport::read_failure::kMalformed:
      break;
  }
  return MakeErrorResponse(error_kind::kBadRequest, "the request is not valid HTTP");
}

}  // namespace hickorystall::protocol
