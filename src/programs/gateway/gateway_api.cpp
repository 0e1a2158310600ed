#include "programs/gateway/gateway_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "protocol/error_response.h"
#include "protocol/token_hash.h"
#include "state/text.h"

namespace hickorystall::programs::gateway {

namespace asio = boost::asio;
using coordination::job_result;
using coordination::routed_result;
using nlohmann::json;
using state::error_kind;
using std::chrono::milliseconds;
using transport::http_request;
using transport::http_response;

namespace {

constexpr std::size_t kMaxKeyLength = 256;
constexpr std::size_t kMaxCancelledJobs = 10000;
// Metrics label of unauthenticated requests, so that arbitrary workspace names cannot fill the metrics.
constexpr char kNoWorkspace[] = "";

// Parses a non-negative whole number of milliseconds. Returns `default_value` for an empty text and
// std::nullopt for an invalid one.
std::optional<milliseconds> ParseMillis(std::string_view text, milliseconds default_value) {
  if (text.empty()) return default_value;
  std::int64_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && value >= 0;
  return valid ? std::optional<milliseconds>(value) : std::nullopt;
}

// An idempotency key becomes part of a row key and of a path, and a request id is echoed: printable ASCII
// without blanks is enough for both.
bool IsPrintable(std::string_view text) {
  return text.size() <= kMaxKeyLength &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace

const gateway_api::route gateway_api::kRoutes[] = {
    {"POST", "/v1/requests/", &gateway_api::RouteRequest}, {"GET", "/v1/outcomes/", &gateway_api::GetOutcome},
    {"POST", "/v1/jobs", &gateway_api::SubmitJob},         {"GET", "/v1/jobs", &gateway_api::ListJobs},
    {"POST", "/v1/jobs/cancel", &gateway_api::CancelJobs}, {"GET", "/v1/jobs/", &gateway_api::GetJob},
    {"DELETE", "/v1/jobs/", &gateway_api::CancelJob},
};

asio::awaitable<http_response> gateway_api::Handle(http_request request) {
  const std::string path(request.path());
  bool known_path = false;
  const route* matched = nullptr;
  std::string path_suffix;
  for (const route& candidate : kRoutes) {
    const bool is_below = candidate.path.ends_with('/') && path.size() > candidate.path.size() &&
                          path.starts_with(candidate.path);
    if (path != candidate.path && !is_below) continue;
    if (candidate.path.ends_with('/') && !is_below) continue;
    known_path = true;
    if (candidate.method != request.method || matched != nullptr) continue;
    matched = &candidate;
    path_suffix = transport::PercentDecode(std::string_view(path).substr(candidate.path.size()));
  }
  if (!known_path) co_return Refuse(kNoWorkspace, error_kind::kNotFound, "no such path");
  if (matched == nullptr) {
    co_return Refuse(kNoWorkspace, error_kind::kMethodNotAllowed, "the path does not allow this method");
  }
  authenticated_request call{{}, config_.current(), std::string(request.Header("X-Workspace")), path_suffix};
  if (call.config == nullptr) {
    co_return Refuse(kNoWorkspace, error_kind::kNotReady, "no configuration is in force yet");
  }
  const state::workspace_config* workspace = call.config->config.FindWorkspace(call.workspace);
  const std::string_view token = protocol::BearerToken(request.Header("Authorization"));
  // An unknown workspace and a wrong token get the same response, so that names cannot be probed.
  if (workspace == nullptr || token.empty() || !protocol::TokenMatches(token, workspace->token_sha256)) {
    co_return Refuse(kNoWorkspace, error_kind::kUnauthorized, "unknown workspace or wrong token");
  }
  if (request.body.size() > static_cast<std::size_t>(call.config->config.limits.max_body_bytes)) {
    co_return Refuse(call.workspace, error_kind::kBodyTooLarge, "the request body is larger than the limit");
  }
  call.http = std::move(request);
  co_return co_await (this->*matched->handle)(std::move(call));
}

http_response gateway_api::Refuse(const std::string& workspace, error_kind kind, std::string_view message,
                                  std::string_view outcome_url) {
  metrics_.RecordRefusal(workspace, kind);
  return protocol::MakeErrorResponse(kind, message, outcome_url);
}

http_response gateway_api::MakeRoutedResponse(const std::string& workspace, routed_result result) {
  if (result.refusal.has_value()) {
    return Refuse(workspace, *result.refusal, result.message, result.outcome_url);
  }
  http_response response{result.status, {}, std::move(result.body)};
  if (!result.content_type.empty()) response.headers.emplace_back("Content-Type", result.content_type);
  return response;
}

http_response gateway_api::MakeJobResponse(const std::string& workspace, job_result result) {
  if (result.refusal.has_value()) return Refuse(workspace, *result.refusal, result.message);
  return transport::JsonResponse(result.status,
                                 result.body.dump(-1, ' ', false, json::error_handler_t::replace));
}

asio::awaitable<http_response> gateway_api::RouteRequest(authenticated_request request) {
  const auto arrival = std::chrono::steady_clock::now();
  const state::work_kind* kind = request.config->config.FindKind(request.path_suffix);
  if (kind == nullptr || kind->kind != state::work_class::kRequest) {
    co_return Refuse(request.workspace, error_kind::kUnknownKind, "unknown kind of request");
  }
  const std::string key(request.http.Header("Idempotency-Key"));
  if (!kind->idempotent && key.empty()) {
    co_return Refuse(request.workspace, error_kind::kMissingIdempotencyKey,
                     "this kind of request requires an Idempotency-Key");
  }
  std::string id(request.http.Header("X-Request-Id"));
  const auto timeout = ParseMillis(request.http.Header("X-Timeout-Ms"), kind->timeout);
  if (!IsPrintable(key) || !IsPrintable(id) || !timeout.has_value() || *timeout == milliseconds(0)) {
    co_return Refuse(request.workspace, error_kind::kBadRequest,
                     "Idempotency-Key, X-Request-Id or X-Timeout-Ms is not valid");
  }
  if (id.empty()) id = protocol::RandomId();
  coordination::routed_request routed{request.workspace, *kind, std::move(request.http.body), key,
                                      std::min(*timeout, kind->timeout)};
  routed_result result = co_await router_.Route(std::move(routed));
  if (!result.refusal.has_value()) {
    metrics_.RecordResponse(request.workspace, std::chrono::steady_clock::now() - arrival);
  }
  http_response response = MakeRoutedResponse(request.workspace, std::move(result));
  response.headers.emplace_back("X-Request-Id", id);
  co_return response;
}

asio::awaitable<http_response> gateway_api::GetOutcome(authenticated_request request) {
  if (!IsPrintable(request.path_suffix)) {
    co_return Refuse(request.workspace, error_kind::kBadRequest, "the key is not valid");
  }
  co_return MakeRoutedResponse(request.workspace,
                               co_await router_.Outcome(request.workspace, request.path_suffix));
}

asio::awaitable<http_response> gateway_api::SubmitJob(authenticated_request request) {
  const std::string key(request.http.Header("Idempotency-Key"));
  if (!IsPrintable(key)) {
    co_return Refuse(request.workspace, error_kind::kBadRequest, "the Idempotency-Key is not valid");
  }
  job_result result =
      co_await jobs_.Submit(request.config, request.workspace, std::move(request.http.body), key);
  co_return MakeJobResponse(request.workspace, std::move(result));
}

asio::awaitable<http_response> gateway_api::ListJobs(authenticated_request request) {
  co_return MakeJobResponse(request.workspace, co_await jobs_.List(request.workspace));
}

asio::awaitable<http_response> gateway_api::GetJob(authenticated_request request) {
  const auto wait = ParseMillis(request.http.QueryParameter("wait_ms"), milliseconds(0));
  if (!wait.has_value()) {
    co_return Refuse(request.workspace, error_kind::kBadRequest, "wait_ms is not valid");
  }
  co_return MakeJobResponse(request.workspace,
                            co_await jobs_.Get(request.workspace, request.path_suffix, *wait));
}

asio::awaitable<http_response> gateway_api::CancelJob(authenticated_request request) {
  // GCC 12 cannot compile a braced list within a co_await expression.
  std::vector<std::string> ids{request.path_suffix};
  job_result result = co_await jobs_.Cancel(request.workspace, std::move(ids));
  if (result.refusal.has_value()) co_return MakeJobResponse(request.workspace, std::move(result));
  json outcome = result.body["jobs"][0];
  if (outcome["result"] == "not_found") {
    co_return Refuse(request.workspace, error_kind::kNotFound, "no such job");
  }
  result.status = outcome["result"] == "accepted" ? 202 : 200;
  result.body = std::move(outcome);
  co_return MakeJobResponse(request.workspace, std::move(result));
}

asio::awaitable<http_response> gateway_api::CancelJobs(authenticated_request request) {
  const json body = json::parse(request.http.body, nullptr, false);
  const bool valid =
      body.is_object() && body.size() == 1 && body.contains("jobs") && body["jobs"].is_array() &&
      body["jobs"].size() <= kMaxCancelledJobs &&
      std::all_of(body["jobs"].begin(), body["jobs"].end(), [](const json& id) { return id.is_string(); });
  if (!valid) {
    co_return Refuse(
        request.workspace, error_kind::kBadRequest,
        state::StrCat("the body must be {\"jobs\":[...]} with at most ", kMaxCancelledJobs, " ids"));
  }
  co_return MakeJobResponse(
      request.workspace,
      co_await jobs_.Cancel(request.workspace, body["jobs"].get<std::vector<std::string>>()));
}

}  // namespace hickorystall::programs::gateway
