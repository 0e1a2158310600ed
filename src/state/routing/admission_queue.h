#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "state/config/cluster_config.h"
#include "state/routing/target_table.h"
#include "state/windowed_rate.h"

namespace hickorystall::state {

/// Requests that wait for a target, ordered by priority class and by arrival within a class. The queue is
/// bounded by the time that each request may wait, not by length. Not thread-safe.
class admission_queue {
 public:
  /// Identifies a waiting request; never reused by the same queue.
  using ticket = std::uint64_t;

  /// Estimates from the recent completion rate whether a request of `level` would still be waiting after
  /// `max_wait`. The caller refuses such a request at once.
  bool WouldExpire(priority level, std::chrono::milliseconds max_wait, routing_time now) const;
  /// Appends a request to the waiting requests of `level`.
  ticket Add(priority level, target_request request);
  /// Removes a request that stops waiting. Returns false when it was already served.
  bool Remove(ticket id);
  /// Calls `serve` for the waiting requests in order and removes those for which it returns true, which means
  /// that the request was assigned a target.
  void Serve(const std::function<bool(ticket, const target_request&)>& serve);
  /// Counts a request that has finished on its target; input of the completion rate.
  void RecordCompletion(routing_time now);
  /// True when requests of `level` or of a more urgent class are waiting.
  bool HasWaiting(priority level) const;

  /// Number of waiting requests by class, urgent first.
  std::array<std::size_t, 3> sizes() const;
  /// Completions per second, averaged over about the last second.
  double completion_rate(routing_time now) const;

 private:
  struct waiting_request {
    ticket id;
    target_request request;
  };

  std::array<std::deque<waiting_request>, 3> waiting_;
  ticket next_ticket_ = 1;
  windowed_rate<routing_time> completions_{std::chrono::seconds(1)};
};

}  // namespace hickorystall::state
