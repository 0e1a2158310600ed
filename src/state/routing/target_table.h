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

/// Time on the clock of the process that routes.
using routing_time = std::chrono::steady_clock::time_point;

/// How an attempt on a target ended, as far as the target's health is concerned.
enum class attempt_outcome {
  /// A whole answer to the request.
  kAnswered,
  /// The target refused as busy and did not run it.
  kBusy,
  /// The target refused because it is leaving.
  kLeaving,
  /// Connection failure, server error, wrong or incomplete answer, or no answer in the usual time.
  kFailed,
  /// Ended for a reason that says nothing about the target, such as a caller's short timeout.
  kNeutral,
};

/// Tunables of the target table. The defaults are derived in docs/design.md, section 5.7.
struct target_table_settings {
  /// Failures in a row after which a target is put on probation.
  int probation_failures = 3;
  /// Health score below which a target is put on probation.
  double probation_score = 0.4;
  /// Delay before the first probe; it doubles with each failed probe.
  std::chrono::milliseconds probe_delay{500};
  /// Longest delay between probes.
  std::chrono::milliseconds max_probe_delay{8000};
  /// Time for which a target that refused as busy gets no further work beyond this gateway's share.
  std::chrono::milliseconds busy_pause{50};
  /// Age at which a load report no longer counts.
  std::chrono::milliseconds report_term{500};
};

/// What a request needs from its target.
struct target_request {
  /// Targets that this request was already sent to.
  std::vector<std::string> excluded;
  /// True when the request may serve as the probe of a target on probation.
  bool may_probe = true;
  /// True for a retry, which only goes to a target whose retry budget allows it.
  bool retry = false;
};

/// A chosen target.
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

/// Why a target gets no work, or "open"; for the state dump.
struct target_explanation {
  /// Name in the inventory.
  std::string name;
  /// "open", "full", "leaving", "drained", "removed", "probation" or "probe due".
  std::string health;
  /// Requests that this gateway has sent and that are not ended.
  int in_flight = 0;
  /// Requests of other gateways by the last fresh report.
  int others = 0;
  /// Health score from 0 to 1.
  double score = 1;
  /// Failures in a row.
  int failures_in_row = 0;
  /// Retries that the target's budget allows now.
  double retry_allowance = 0;
};

/// The executors as one gateway sees them: who may get work and how much. Not thread-safe.
class target_table {
 public:
  explicit target_table(target_table_settings settings);

  /// Takes over the executors of `config`. What was learned about a target that stays is kept.
  void Configure(const cluster_config& config);
  /// Sets the number of live gateways, at least 1, among which slots and connections are shared.
  void SetGatewayCount(int count);
  /// Sets the VMs that the platform lists as leaving.
  void SetListedLeaving(std::set<std::string> names);
  /// Targets that said themselves that they are leaving, while the platform does not list them.
  std::vector<chosen_target> ReportedLeaving() const;
  /// Records that a target which had said that it is leaving serves again.
  void RecordServing(const chosen_target& target);

  /// Chooses the less loaded of two random open targets, weighted by health; a probe that is due goes first.
  /// Nothing when no target may take the request now.
  std::optional<chosen_target> Choose(const target_request& request, routing_time now,
                                      std::mt19937_64& random) const;
  /// Records that a request is sent to a target that Choose returned, which draws on the target's retry
  /// budget or earns for it.
  void Start(const chosen_target& target);
  /// Records the end of an attempt. `reported_load` is the target's own count of requests, if it gave one.
  void Finish(const chosen_target& target, attempt_outcome outcome, std::optional<int> reported_load,
              routing_time now);

  /// True when some target is neither leaving, drained nor on probation.
  bool HasServingTarget() const;
  /// Requests of this gateway on all targets.
  int in_flight() const { return in_flight_; }
  /// Describes each target.
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
  int OthersOn(const target_state& target, routing_time now) const;
  double CostOf(const target_state& target, routing_time now) const;
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
