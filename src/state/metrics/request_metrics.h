#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "state/error_kind.h"
#include "state/ranked_mutex.h"

namespace hickorystall::state {

/// Request counters and duration quantiles by workspace, and attempt counters by target. Thread-safe.
class request_metrics {
 public:
  request_metrics() = default;

  /// Records a request that got a response. `duration` is the time from its arrival to the response.
  void RecordResponse(const std::string& workspace, std::chrono::nanoseconds duration);
  /// Counts a refused request.
  void RecordRefusal(const std::string& workspace, error_kind kind);
  /// Counts an attempt that ended. `outcome` becomes a label value, such as "timed_out".
  void RecordAttempt(const std::string& target, const std::string& outcome, bool retry);

  /// Returns all metrics in the Prometheus text format (version 0.0.4). Durations are in seconds.
  std::string ToText() const;

 private:
  using quantiles = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;
  struct workspace_entry {
    workspace_entry();
    std::int64_t responses = 0;
    double duration_sum = 0;
    quantiles durations;
    std::map<error_kind, std::int64_t> refusals;
  };

  // Guards the members below.
  mutable ranked_mutex mutex_{lock_rank::kMetrics};
  std::map<std::string, workspace_entry> workspaces_;
  std::map<std::pair<std::string, std::string>, std::int64_t> attempts_;
  std::int64_t retries_ = 0;
};

/// Returns `text` escaped as a label value of the Prometheus text format.
std::string EscapeLabel(std::string_view text);

}  // namespace hickorystall::state
