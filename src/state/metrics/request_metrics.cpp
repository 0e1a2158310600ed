#include "state/metrics/request_metrics.h"

#include <array>

#include "state/text.h"

namespace hickorystall::state {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array kQuantiles{0.5, 0.9, 0.99, 0.999};
constexpr std::array<std::string_view, 4> kQuantileNames{"0.5", "0.9", "0.99", "0.999"};

void AppendHeader(std::string& text, std::string_view name, std::string_view type, std::string_view help) {
  text += StrCat("# HELP ", name, " ", help, "\n# TYPE ", name, " ", type, "\n");
}

}  // namespace

std::string EscapeLabel(std::string_view text) {
  std::string result;
  for (const char c : text) {
    if (c == '\\' || c == '"') result += '\\';
    if (c == '\n') {
      result += "\\n";
    } else {
      result += c;
    }
  }
  return result;
}

request_metrics::workspace_entry::workspace_entry()
    : durations(accumulators::extended_p_square_probabilities = kQuantiles) {}

void request_metrics::RecordResponse(const std::string& workspace, std::chrono::nanoseconds duration) {
  const double seconds = std::chrono::duration<double>(duration).count();
  const std::lock_guard lock(mutex_);
  workspace_entry& entry = workspaces_[workspace];
  ++entry.responses;
  entry.duration_sum += seconds;
  entry.durations(seconds);
}

void request_metrics::RecordRefusal(const std::string& workspace, error_kind kind) {
  const std::lock_guard lock(mutex_);
  ++workspaces_[workspace].refusals[kind];
}

void request_metrics::RecordAttempt(const std::string& target, const std::string& outcome, bool retry) {
  const std::lock_guard lock(mutex_);
  ++attempts_[{target, outcome}];
  if (retry) ++retries_;
}

std::string request_metrics::ToText() const {
  const std::lock_guard lock(mutex_);
  std::string text;
  AppendHeader(text, "hickorystall_request_duration_seconds", "summary",
               "Time from arrival to answer of answered requests.");
  for (const auto& [workspace, entry] : workspaces_) {
    const std::string label = StrCat("{workspace=\"", EscapeLabel(workspace), "\"");
    for (std::size_t i = 0; entry.responses > 0 && i < kQuantiles.size(); ++i) {
      text += StrCat("hickorystall_request_duration_seconds", label, ",quantile=\"", kQuantileNames[i],
                     "\"} ", accumulators::extended_p_square(entry.durations)[i], "\n");
    }
    text += StrCat("hickorystall_request_duration_seconds_sum", label, "} ", entry.duration_sum, "\n");
    text += StrCat("hickorystall_request_duration_seconds_count", label, "} ", entry.responses, "\n");
  }
  AppendHeader(text, "hickorystall_refusals_total", "counter", "Refused calls by error kind.");
  for (const auto& [workspace, entry] : workspaces_) {
    for (const auto& [kind, count] : entry.refusals) {
      text += StrCat("hickorystall_refusals_total{workspace=\"", EscapeLabel(workspace), "\",kind=\"",
                     ErrorInfoFor(kind).name, "\"} ", count, "\n");
    }
  }
  AppendHeader(text, "hickorystall_attempts_total", "counter", "Attempts on targets by outcome.");
  for (const auto& [key, count] : attempts_) {
    text += StrCat("hickorystall_attempts_total{target=\"", EscapeLabel(key.first), "\",outcome=\"",
                   EscapeLabel(key.second), "\"} ", count, "\n");
  }
  AppendHeader(text, "hickorystall_retries_total", "counter", "Attempts that were retries.");
  text += StrCat("hickorystall_retries_total ", retries_, "\n");
  return text;
}

}  // namespace hickorystall::state
