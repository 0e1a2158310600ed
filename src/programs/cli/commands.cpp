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

constexpr std::int64_t kWaitStepMs = 10000;
constexpr std::chrono::milliseconds kRetryDelay{1000};

bool IsAnswered(const http_exchange& exchange) {
  return exchange.status.ok() && exchange.response.status < 400;
}

int Refuse(const http_exchange& exchange) {
  PrintRefusal(ReadRefusal(exchange), std::cerr);
  return kExitRefused;
}

// Prints a JSON body indented, anything else as it is.
void PrintBody(const std::string& body) {
  const json document = json::parse(body, nullptr, false);
  std::cout << (document.is_discarded() ? body : document.dump(2)) << "\n";
}

int PrintAnswer(const http_exchange& exchange) {
  if (!IsAnswered(exchange)) return Refuse(exchange);
  PrintBody(exchange.response.body);
  return kExitDone;
}

int Get(api_client& client, const std::string& target) {
  return PrintAnswer(client.SendRepeatable({"GET", target, {}, ""}));
}

// Reads the file; nothing, with a message, when it cannot be read.
std::optional<std::string> ReadInput(const std::string& path) {
  if (path == "-") return std::string(std::istreambuf_iterator<char>(std::cin), {});
  absl::StatusOr<std::string> text = common::ReadFile(path);
  if (text.ok()) return *std::move(text);
  std::cerr << "hickorystall: " << text.status().message() << "\n";
  return std::nullopt;
}

http_request JsonRequest(std::string method, std::string target, std::string body) {
  return {std::move(method), std::move(target), {{"Content-Type", "application/json"}}, std::move(body)};
}

// Adds the key of the arguments, or a random one, so that a repeated request is recognised.
void AddKey(http_request& request, const std::string& key) {
  request.headers.emplace_back("Idempotency-Key", key.empty() ? protocol::RandomId() : key);
}

// Prints an accepted change and names the instances that have not confirmed it.
int PrintAccepted(const http_exchange& exchange) {
  if (!IsAnswered(exchange)) return Refuse(exchange);
  PrintBody(exchange.response.body);
  const json answer = json::parse(exchange.response.body, nullptr, false);
  if (answer.is_object() && answer.contains("unconfirmed") && !answer["unconfirmed"].empty()) {
    std::cerr << "accepted, but not yet confirmed by: " << answer["unconfirmed"].dump()
              << "; they take it up by polling, check with 'status'\n";
  }
  return kExitDone;
}

int SetDrained(api_client& client, const std::string& vm, std::string_view action) {
  http_request request = JsonRequest("POST", StrCat("/v1/vms/", PercentEncode(vm), "/", action), "");
  AddKey(request, "");
  return PrintAccepted(client.SendRepeatable(request));
}

}  // namespace

int Validate(api_client& client, const command_arguments& arguments) {
  const std::optional<std::string> text = ReadInput(arguments.file);
  if (!text.has_value()) return kExitUsage;
  return PrintAnswer(client.SendRepeatable(JsonRequest("POST", "/v1/config/validate", *text)));
}

int DryRun(api_client& client, const command_arguments& arguments) {
  const std::optional<std::string> text = ReadInput(arguments.file);
  if (!text.has_value()) return kExitUsage;
  const http_exchange exchange = client.SendRepeatable(JsonRequest("POST", "/v1/config/dry-run", *text));
  const int status = PrintAnswer(exchange);
  if (status != kExitDone) return status;
  const json answer = json::parse(exchange.response.body, nullptr, false);
  return answer.is_object() && answer.value("valid", false) ? kExitDone : kExitRefused;
}

int Apply(api_client& client, const command_arguments& arguments) {
  const std::optional<std::string> text = ReadInput(arguments.file);
  if (!text.has_value()) return kExitUsage;
  http_request request = JsonRequest("PUT", StrCat("/v1/config?base=", arguments.base), *text);
  // The key makes a repetition after a lost answer return the version that the first attempt made.
  AddKey(request, arguments.key);
  return PrintAccepted(client.SendRepeatable(request));
}

int Show(api_client& client, const command_arguments& arguments) {
  const std::string query = arguments.version == 0 ? "" : StrCat("?version=", arguments.version);
  const http_exchange exchange = client.SendRepeatable({"GET", "/v1/config" + query, {}, ""});
  if (!IsAnswered(exchange)) return Refuse(exchange);
  const json answer = json::parse(exchange.response.body, nullptr, false);
  if (!answer.is_object()) return Refuse(exchange);
  // The version goes to standard error, so that the document can be redirected into a file.
  std::cerr << "version " << answer.value("version", std::int64_t{0})
            << (answer.value("stale", false) ? " (the store does not answer; may be stale)" : "") << "\n";
  std::cout << answer.value("document", "");
  return kExitDone;
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
    std::optional<std::string> text = ReadInput(arguments.file);
    if (!text.has_value()) return kExitUsage;
    body = *std::move(text);
  }
  http_request request = JsonRequest("POST", StrCat("/v1/requests/", PercentEncode(arguments.name)), body);
  if (!arguments.key.empty()) AddKey(request, arguments.key);
  if (!arguments.request_id.empty()) request.headers.emplace_back("X-Request-Id", arguments.request_id);
  // Not repeated: only the caller knows whether the work may run twice.
  const http_exchange exchange = client.Send(request);
  if (!IsAnswered(exchange)) return Refuse(exchange);
  std::cout << exchange.response.body << "\n";
  return kExitDone;
}

int Outcome(api_client& client, const command_arguments& arguments) {
  return Get(client, StrCat("/v1/outcomes/", PercentEncode(arguments.name)));
}

int Submit(api_client& client, const command_arguments& arguments) {
  const std::optional<std::string> text = ReadInput(arguments.file);
  if (!text.has_value()) return kExitUsage;
  http_request request = JsonRequest("POST", "/v1/jobs", *text);
  AddKey(request, arguments.key);
  return PrintAnswer(client.SendRepeatable(request));
}

int Job(api_client& client, const command_arguments& arguments) {
  return Get(client, StrCat("/v1/jobs/", PercentEncode(arguments.name), "?wait_ms=", arguments.wait_ms));
}

int Wait(api_client& client, const command_arguments& arguments) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(arguments.wait_ms);
  const std::string target =
      StrCat("/v1/jobs/", PercentEncode(arguments.name),
             "?wait_ms=", arguments.wait_ms > 0 ? std::min(arguments.wait_ms, kWaitStepMs) : kWaitStepMs);
  for (;;) {
    const http_exchange exchange = client.SendRepeatable({"GET", target, {}, ""});
    const bool out_of_time = arguments.wait_ms > 0 && std::chrono::steady_clock::now() >= deadline;
    if (!IsAnswered(exchange)) {
      const bool may_pass = ReadRefusal(exchange).retry_after_ms > 0;
      if (!may_pass || out_of_time) return Refuse(exchange);
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    const json answer = json::parse(exchange.response.body, nullptr, false);
    const std::string name = answer.is_object() ? answer.value("state", "") : "";
    const std::optional<state::job_state> job = state::ParseJobState(name);
    if (!job.has_value() || state::IsFinal(*job) || out_of_time) {
      PrintBody(exchange.response.body);
      return job == state::job_state::kFinished ? kExitDone : kExitRefused;
    }
  }
}

int Cancel(api_client& client, const command_arguments& arguments) {
  if (arguments.jobs.size() == 1) {
    const std::string target = StrCat("/v1/jobs/", PercentEncode(arguments.jobs.front()));
    return PrintAnswer(client.SendRepeatable({"DELETE", target, {}, ""}));
  }
  const json body = {{"jobs", arguments.jobs}};
  return PrintAnswer(client.SendRepeatable(JsonRequest("POST", "/v1/jobs/cancel", body.dump())));
}

int List(api_client& client, const command_arguments&) { return Get(client, "/v1/jobs"); }

}  // namespace hickorystall::programs::cli
