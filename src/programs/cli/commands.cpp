#include "programs/cli/commands.h"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <utility>

#include "programs/cli/refusal.h"
#include "programs/common/command_line.h"
#include "protocol/token_hash.h"
#include "state/scheduling/job.h"
#include "state/text.h"

namespace hickorystall::programs::cli {
namespace {

using nlohmann::json;
using state::StrCat;
using transport::http_exchange;
using transport::http_request;
using transport::PercentEncode;

constexpr std::int64_t kMaxLongPollMs = 10000;
constexpr std::chrono::milliseconds kRetryDelay{1000};

bool IsSuccess(const http_exchange& exchange) {
  return exchange.status.ok() && exchange.response.status < 400;
}

int ReportRefusal(const http_exchange& exchange) {
  PrintRefusal(ReadRefusal(exchange), std::cerr);
  return kExitRefused;
}

// Pretty-prints a JSON body; prints any other body unchanged.
void PrintBody(const std::string& body) {
  const json document = json::parse(body, nullptr, false);
  std::cout << (document.is_discarded() ? body : document.dump(2)) << "\n";
}

int PrintResponse(const http_exchange& exchange) {
  if (!IsSuccess(exchange)) return ReportRefusal(exchange);
  PrintBody(exchange.response.body);
  return kExitSuccess;
}

int Get(api_client& client, const std::string& target) {
  return PrintResponse(client.SendRepeatable({"GET", target, {}, ""}));
}

// Reads a file or standard input ("-"). Prints an error and returns std::nullopt when the file is unreadable.
std::optional<std::string> ReadInputFile(const std::string& path) {
  if (path == "-") return std::string(std::istreambuf_iterator<char>(std::cin), {});
  absl::StatusOr<std::string> text = common::ReadFile(path);
  if (text.ok()) return *std::move(text);
  std::cerr << "hickorystall: " << text.status().message() << "\n";
  return std::nullopt;
}

http_request JsonRequest(std::string method, std::string target, std::string body) {
  return {std::move(method), std::move(target), {{"Content-Type", "application/json"}}, std::move(body)};
}

// Adds `key`, or a random key when it is empty, so that the server recognises a retried request.
void AddIdempotencyKey(http_request& request, const std::string& key) {
  request.headers.emplace_back("Idempotency-Key", key.empty() ? protocol::RandomId() : key);
}

// Prints an accepted change and warns about the instances that have not confirmed it.
int PrintAccepted(const http_exchange& exchange) {
  if (!IsSuccess(exchange)) return ReportRefusal(exchange);
  PrintBody(exchange.response.body);
  const json body = json::parse(exchange.response.body, nullptr, false);
  if (body.is_object() && body.contains("unconfirmed") && !body["unconfirmed"].empty()) {
    std::cerr << "accepted, but not yet confirmed by: " << body["unconfirmed"].dump()
              << "; they will load it at their next poll; check with 'status'\n";
  }
  return kExitSuccess;
}

int SetDrained(api_client& client, const std::string& vm, std::string_view action) {
  http_request request = JsonRequest("POST", StrCat("/v1/vms/", PercentEncode(vm), "/", action), "");
  AddIdempotencyKey(request, "");
  return PrintAccepted(client.SendRepeatable(request));
}

}  // namespace

int Validate(api_client& client, const command_arguments& arguments) {
  const std::optional<std::string> text = ReadInputFile(arguments.file);
  if (!text.has_value()) return kExitUsage;
  return PrintResponse(client.SendRepeatable(JsonRequest("POST", "/v1/config/validate", *text)));
}

int DryRun(api_client& client, const command_arguments& arguments) {
  const std::optional<std::string> text = ReadInputFile(arguments.file);
  if (!text.has_value()) return kExitUsage;
  const http_exchange exchange = client.SendRepeatable(JsonRequest("POST", "/v1/config/dry-run", *text));
  const int status = PrintResponse(exchange);
  if (status != kExitSuccess) return status;
  const json body = json::parse(exchange.response.body, nullptr, false);
  return body.is_object() && body.value("valid", false) ? kExitSuccess : kExitRefused;
}

int Apply(api_client& client, const command_arguments& arguments) {
  const std::optional<std::string> text = ReadInputFile(arguments.file);
  if (!text.has_value()) return kExitUsage;
  http_request request = JsonRequest("PUT", StrCat("/v1/config?base=", arguments.base), *text);
  // With the key, a retry after a lost response returns the version that the first attempt created.
  AddIdempotencyKey(request, arguments.key);
  return PrintAccepted(client.SendRepeatable(request));
}

int Show(api_client& client, const command_arguments& arguments) {
  const std::string query = arguments.version == 0 ? "" : StrCat("?version=", arguments.version);
  const http_exchange exchange = client.SendRepeatable({"GET", "/v1/config" + query, {}, ""});
  if (!IsSuccess(exchange)) return ReportRefusal(exchange);
  const json body = json::parse(exchange.response.body, nullptr, false);
  if (!body.is_object()) return ReportRefusal(exchange);
  // The version goes to standard error, so that the document can be redirected into a file.
  std::cerr << "version " << body.value("version", std::int64_t{0})
            << (body.value("stale", false) ? " (the store is unavailable; may be stale)" : "") << "\n";
  std::cout << body.value("document", "");
  return kExitSuccess;
}

int History(api_client& client, const command_arguments& arguments) {
  return Get(client, StrCat("/v1/config/history?limit=", arguments.limit));
}

int Status(api_client& client, const command_arguments&) { return Get(client, "/v1/config/status"); }

int Drain(api_client& client, const command_arguments& arguments) {
  return SetDrained(client, arguments.name, "drain");
}

int Undrain(api_client& client, const command_arguments& arguments) {
  return SetDrained(client, arguments.name, "undrain");
}

int Dump(api_client& client, const command_arguments&) { return Get(client, "/dump"); }

int Request(api_client& client, const command_arguments& arguments) {
  std::string body = arguments.body;
  if (!arguments.file.empty()) {
    std::optional<std::string> text = ReadInputFile(arguments.file);
    if (!text.has_value()) return kExitUsage;
    body = *std::move(text);
  }
  http_request request = JsonRequest("POST", StrCat("/v1/requests/", PercentEncode(arguments.name)), body);
  if (!arguments.key.empty()) AddIdempotencyKey(request, arguments.key);
  if (!arguments.request_id.empty()) request.headers.emplace_back("X-Request-Id", arguments.request_id);
  // Not retried: only the user knows whether the work may run twice.
  const http_exchange exchange = client.Send(request);
  if (!IsSuccess(exchange)) return ReportRefusal(exchange);
  std::cout << exchange.response.body << "\n";
  return kExitSuccess;
}

int Outcome(api_client& client, const command_arguments& arguments) {
  return Get(client, StrCat("/v1/outcomes/", PercentEncode(arguments.name)));
}

int Submit(api_client& client, const command_arguments& arguments) {
  const std::optional<std::string> text = ReadInputFile(arguments.file);
  if (!text.has_value()) return kExitUsage;
  http_request request = JsonRequest("POST", "/v1/jobs", *text);
  AddIdempotencyKey(request, arguments.key);
  return PrintResponse(client.SendRepeatable(request));
}

int Job(api_client& client, const command_arguments& arguments) {
  return Get(client, StrCat("/v1/jobs/", PercentEncode(arguments.name), "?wait_ms=", arguments.wait_ms));
}

int Wait(api_client& client, const command_arguments& arguments) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(arguments.wait_ms);
  const std::string target = StrCat(
      "/v1/jobs/", PercentEncode(arguments.name),
      "?wait_ms=", arguments.wait_ms > 0 ? std::min(arguments.wait_ms, kMaxLongPollMs) : kMaxLongPollMs);
  for (;;) {
    const http_exchange exchange = client.SendRepeatable({"GET", target, {}, ""});
    const bool timed_out = arguments.wait_ms > 0 && std::chrono::steady_clock::now() >= deadline;
    if (!IsSuccess(exchange)) {
      const bool is_retryable = ReadRefusal(exchange).retry_after_ms > 0;
      if (!is_retryable || timed_out) return ReportRefusal(exchange);
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    const json body = json::parse(exchange.response.body, nullptr, false);
    const std::string name = body.is_object() ? body.value("state", "") : "";
    const std::optional<state::job_state> job = state::ParseJobState(name);
    if (!job.has_value() || state::IsFinal(*job) || timed_out) {
      PrintBody(exchange.response.body);
      return job == state::job_state::kFinished ? kExitSuccess : kExitRefused;
    }
  }
}

int Cancel(api_client& client, const command_arguments& arguments) {
  if (arguments.jobs.size() == 1) {
    const std::string target = StrCat("/v1/jobs/", PercentEncode(arguments.jobs.front()));
    return PrintResponse(client.SendRepeatable({"DELETE", target, {}, ""}));
  }
  const json body = {{"jobs", arguments.jobs}};
  return PrintResponse(client.SendRepeatable(JsonRequest("POST", "/v1/jobs/cancel", body.dump())));
}

int List(api_client& client, const command_arguments&) { return Get(client, "/v1/jobs"); }

}  // namespace hickorystall::programs::cli
