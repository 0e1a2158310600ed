#include "protocol/executor_client.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

#include "state/text.h"

namespace hickorystall::protocol {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 8> kOutcomeNames{"answered", "busy",         "leaving", "not_sent",
                                                        "failed",   "wrong_answer", "broken",  "timed_out"};

std::optional<int> ParseLoad(std::string_view text) {
  int load = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), load);
  const bool whole = !text.empty() && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return whole && load >= 0 ? std::optional<int>(load) : std::nullopt;
}

execute_outcome ClassifyFailure(const transport::http_exchange& exchange) {
  if (!exchange.bytes_sent) return execute_outcome::kNotSent;
  if (absl::IsDeadlineExceeded(exchange.status)) return execute_outcome::kTimedOut;
  return absl::IsDataLoss(exchange.status) ? execute_outcome::kInvalidResponse : execute_outcome::kBroken;
}

// Returns a check that accepts only responses with the request id `id`. Neither the body nor the status of
// another response may be used.
transport::http_client::response_check HasRequestId(std::string id) {
  return [id = std::move(id)](const transport::http_response& response) {
    return response.Header("X-Request-Id") == id;
  };
}

execute_outcome ClassifyResponse(const transport::http_response& response) {
  if (response.status < 500) return execute_outcome::kResponded;
  if (response.status != 503) return execute_outcome::kFailed;
  const std::string_view state = response.Header("X-Executor-State");
  if (state == "busy") return execute_outcome::kBusy;
  return state == "leaving" ? execute_outcome::kLeaving : execute_outcome::kFailed;
}

}  // namespace

bool ProvesNotRun(execute_outcome outcome) {
  return outcome == execute_outcome::kBusy || outcome == execute_outcome::kLeaving ||
         outcome == execute_outcome::kNotSent;
}

std::string_view ExecuteOutcomeName(execute_outcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

asio::awaitable<execution_result> executor_client::Execute(execution_request request) {
  transport::http_request message{
      "POST",
      "/v1/execute",
      {{"X-Request-Id", request.id}, {"X-Kind", request.kind}, {"Content-Type", "application/octet-stream"}},
      std::move(request.body)};
  transport::http_client::response_check accepts_response = HasRequestId(request.id);
  transport::http_exchange exchange =
      co_await http_.Send(request.address, std::move(message), request.timeout, std::move(accepts_response));
  execution_result result;
  if (!exchange.status.ok()) {
    result.outcome = ClassifyFailure(exchange);
    result.message = std::string(exchange.status.message());
    co_return result;
  }
  result.outcome = ClassifyResponse(exchange.response);
  result.status = exchange.response.status;
  result.content_type = std::string(exchange.response.Header("Content-Type"));
  result.reported_load = ParseLoad(exchange.response.Header("X-Executor-In-Flight"));
  result.message = state::StrCat(request.address, " answered with status ", result.status);
  result.body = std::move(exchange.response.body);
  co_return result;
}

asio::awaitable<absl::StatusOr<execution_record>> executor_client::Query(std::string address, std::string id,
                                                                         std::chrono::milliseconds timeout) {
  transport::http_request request{
      "GET", "/v1/executions/" + transport::PercentEncode(id), {{"X-Request-Id", id}}, ""};
  transport::http_client::response_check accepts_response = HasRequestId(id);
  const transport::http_exchange exchange =
      co_await http_.Send(address, std::move(request), timeout, std::move(accepts_response));
  if (!exchange.status.ok()) co_return absl::UnavailableError(std::string(exchange.status.message()));
  const json body = json::parse(exchange.response.body, nullptr, false);
  if (exchange.response.status != 200 || !body.is_object() || !body.contains("state") ||
      !body["state"].is_string()) {
    co_return absl::UnavailableError("no valid record from " + address);
  }
  execution_record record;
  const std::string state = body["state"].get<std::string>();
  if (state == "running") record.state = execution_record::phase::kRunning;
  if (state != "finished") co_return record;
  if (!body.contains("status") || !body["status"].is_number_integer() || !body.contains("body") ||
      !body["body"].is_string()) {
    co_return absl::UnavailableError("incomplete record from " + address);
  }
  record.state = execution_record::phase::kFinished;
  record.status = body["status"].get<int>();
  record.body = body["body"].get<std::string>();
  co_return record;
}

asio::awaitable<bool> executor_client::IsServing(std::string address, std::chrono::milliseconds timeout) {
  transport::http_request request{"GET", "/v1/health", {}, ""};
  const transport::http_exchange exchange = co_await http_.Send(address, std::move(request), timeout);
  if (!exchange.status.ok() || exchange.response.status != 200) co_return false;
  const json body = json::parse(exchange.response.body, nullptr, false);
  co_return body.is_object() && body.value("state", json()) == "serving";
}

}  // namespace hickorystall::protocol
