#include "programs/cli/refusal.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace hickorystall::programs::cli {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<std::string_view, std::string_view>, 13> kAdvice{{
    {"version_conflict", "read the newest version with 'show', repeat the change on it and apply it again"},
    {"invalid_configuration", "correct the listed lines and validate again"},
    {"unauthorized", "check the token (HICKORYSTALL_TOKEN) and the workspace (HICKORYSTALL_WORKSPACE)"},
    {"forbidden", "use a token that has this permission"},
    {"not_found", "check the name, and that the endpoint belongs to the right program"},
    {"unknown_kind", "use a kind that the configuration defines"},
    {"missing_idempotency_key", "repeat the command with --key"},
    {"idempotency_key_reused", "use a new --key for other content"},
    {"duplicate_in_progress", "query the result with 'outcome'"},
    {"job_impossible", "change the shape of the job; it can never run as it is"},
    {"job_misses_deadline", "change the deadline or the run time of the job"},
    {"quota_exceeded", "wait until other work of the workspace ends"},
    {"body_too_large", "send a smaller body"},
}};

}  // namespace

refusal ReadRefusal(const transport::http_exchange& exchange) {
  if (!exchange.status.ok()) {
    return {"unreachable", 0, exchange.bytes_sent ? "unknown" : "no", std::string(exchange.status.message()),
            1000,          ""};
  }
  refusal result;
  result.kind = "unexpected_answer";
  result.status = exchange.response.status;
  result.ran = "unknown";
  const json body = json::parse(exchange.response.body, nullptr, false);
  if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) return result;
  const json& error = body["error"];
  result.kind = error.value("kind", result.kind);
  result.ran = error.value("ran", result.ran);
  result.message = error.value("message", "");
  result.retry_after_ms = error.value("retry_after_ms", std::int64_t{0});
  result.outcome_url = error.value("outcome_url", "");
  if (body.contains("errors") && body["errors"].is_array()) {
    for (const json& item : body["errors"]) {
      result.message += "\n  line " + std::to_string(item.value("line", 0)) + ": " + item.value("key", "") +
                        ": " + item.value("message", "");
    }
  }
  return result;
}

std::string Advice(const refusal& refused) {
  const auto* const found = std::find_if(kAdvice.begin(), kAdvice.end(),
                                         [&](const auto& entry) { return entry.first == refused.kind; });
  if (found != kAdvice.end()) return std::string(found->second);
  if (!refused.outcome_url.empty()) return "do not retry; query the result at " + refused.outcome_url;
  if (refused.ran == "unknown") return "check whether it took effect before retrying";
  if (refused.retry_after_ms > 0) return "retry after " + std::to_string(refused.retry_after_ms) + " ms";
  return "a retry will be refused as well";
}

void PrintRefusal(const refusal& refused, std::ostream& out) {
  out << "refused: " << refused.kind;
  if (refused.status != 0) out << " (HTTP " << refused.status << ")";
  out << ": " << refused.message << "\n"
      << "ran: " << refused.ran << "\n"
      << "advice: " << Advice(refused) << "\n";
}

}  // namespace hickorystall::programs::cli
