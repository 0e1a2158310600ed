#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "state/config/cluster_config.h"
#include "state/routing/token_bucket.h"

namespace hickorystall::state {

/// Time on the gateway's own monotonic clock.
using routing_time = std::chrono::steady_clock::time_point;

/// Result of an attempt on a target, as it affects the target's health.
enum class attempt_outcome {
  /// A complete response to the request.
  kResponded,
  /// The target refused the request as busy and did not run it.
  kBusy,
  /// The target refused the request because it is leaving.
  kLeaving,
  /// Connection failure, server error, wrong or incomplete response, or no response in the usual time.
  kFailed,
  /// Ended for a reason unrelated to the target's health, such as a caller's short timeout.
  kNeutral,
};

/// Settings of the target table. docs/design.md, section 5.7, derives the defaults.
struct target_table_settings {
  /// Consecutive failures after which a target is put on probation.
  int probation_failures = 3;
  /// Health score, from 0 to 1, below which a failure puts a target on probation.
  double probation_score = 0.4;
  /// Delay before the first probe; it doubles with each failed probe.
  std::chrono::milliseconds probe_delay{500};
  /// Longest delay between probes.
  std::chrono::milliseconds max_probe_delay{8000};
  /// Time after a refusal as busy during which the target gets no requests beyond this gateway's share.
  std::chrono::milliseconds busy_pause{50};
  /// Age from which a load report is ignored.
  std::chrono::milliseconds max_report_age{500};
};

/// Restrictions on the choice of a target for one request.
struct target_request {
  /// Names of the targets that were already tried.
  std::vector<std::string> excluded;
  /// True when the request may serve as the probe of a target on probation.
  bool may_probe = true;
  /// True for a retry, which is only sent to a target whose retry budget allows it.
  bool retry = false;
};

/// A target chosen for one attempt.
struct chosen_target {
  /// Name in the inventory.
  std::string name;
  /// "ip:port".
  std::string address;
  /// True when the request serves as a probe.
  bool probe = false;
  /// True when the attempt is a retry.
  bool retry = false;
};

/// State of a target for the state dump.
struct target_explanation {
  /// Name in the inventory.
  std::string name;
  /// "open" when the target may get requests, otherwise the reason why not: "full", "leaving", "drained",
  /// "removed", "probation" or "probe due".
  std::string health;
  /// Requests of this gateway that have not ended.
  int in_flight = 0;
  /// Requests of other gateways, from the last load report; 0 when it is too old.
  int others = 0;
  /// Health score from 0 to 1.
  double score = 1;
  /// Consecutive failures.
  int failures_in_row = 0;
  /// Retries left in the target's budget; may be fractional.
  double retry_allowance = 0;
};

/// One gateway's view of the executors: which of them may get requests, and how many. Not thread-safe.
class target_table {
 public:
  explicit target_table(target_table_settings settings);

  /// Replaces the set of targets by the executors of `config`. The health and load of a target whose address
  /// is unchanged are kept.
  void Configure(const cluster_config& config);
  /// Sets the number of live gateways, at least 1, that share the slots and connections of each target.
  void SetGatewayCount(int count);
  /// Sets the names of the VMs that the platform lists as leaving.
  void SetListedLeaving(std::set<std::string> names);
  /// Returns the targets that reported that they are leaving and that the platform does not list as leaving.
  std::vector<chosen_target> ReportedLeaving() const;
  /// Records that a target that had reported that it is leaving serves requests again.
  void RecordServing(const chosen_target& target);

  /// Chooses the less loaded of two random open targets, with the load weighted by health. A target that is
  /// due for a probe has precedence. Returns nothing when no target may get the request now.
  std::optional<chosen_target> Choose(const target_request& request, routing_time now,
                                      std::mt19937_64& random) const;
  /// Records that a request is sent to a target that Choose returned. A retry consumes one retry of the
  /// target's budget; a first attempt adds to the budget.
  void Start(const chosen_target& target);
  /// Records the end of an attempt. `reported_load` is the target's own count of requests in flight, if its
  /// response has one.
  void Finish(const chosen_target& target, attempt_outcome outcome, std::optional<int> reported_load,
              routing_time now);

  /// True when at least one target is neither leaving, drained nor on probation.
  bool HasServingTarget() const;
  /// Requests of this gateway that are in flight on any target.
  int in_flight() const { return in_flight_; }
  /// Describes each target, ordered by name.
  std::vector<target_explanation> Explain(routing_time now) const;

 private:
  struct target_state {
    std::string address;
    int slots = 0;
    int connections = 0;
    bool configured = true;
    bool drained = false;
    bool listed_leaving = false;
    bool reported_leaving = false;
    int in_flight = 0;
    double score = 1;
    int failures_in_row = 0;
    bool on_probation = false;
    bool probe_in_flight = false;
    std::chrono::milliseconds next_probe_delay{0};
    routing_time probe_at;
    int others = 0;
    routing_time reported_at;
    routing_time busy_until;
    retry_budget budget;
  };

  bool MayServe(const target_state& target) const;
  bool IsOpen(const target_state& target, routing_time now) const;
  int OtherGatewaysLoad(const target_state& target, routing_time now) const;
  double Cost(const target_state& target, routing_time now) const;
  void RecordSuccess(target_state& target);
  void RecordFailure(target_state& target, bool was_probe, routing_time now);
  std::string_view HealthName(const target_state& target, routing_time now) const;

  const target_table_settings settings_;
  std::map<std::string, target_state> targets_;
  std::set<std::string> listed_leaving_;
  int gateway_count_ = 1;
  int in_flight_ = 0;
};

}  // namespace hickorystall::state
