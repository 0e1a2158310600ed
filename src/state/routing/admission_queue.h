#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "state/config/cluster_config.h"
#include "state/routing/target_table.h"

namespace hickorystall::state {

/// Requests that wait for a target, urgent before normal before patient and in order of arrival within a
/// class. Bounded by the time that each may wait, not by length. Not thread-safe.
class admission_queue {
 public:
  /// Identifies a waiting request.
  using ticket = std::uint64_t;

  /// True when a request of `level` that may wait for `max_wait` would probably still wait at its end, judged
  /// by the recent rate of completions. Such a request is refused at once.
  bool WouldExpire(priority level, std::chrono::milliseconds max_wait, routing_time now) const;
  /// Adds a waiting request.
  ticket Add(priority level, target_request request);
  /// Removes a request that stops waiting; false when it was already served.
  bool Remove(ticket id);
  /// Offers the waiting requests in order to `serve`, which returns true for one that got a target and is
  /// then removed.
  void Serve(const std::function<bool(ticket, const target_request&)>& serve);
  /// Records that a request left its target, which measures the rate of service.
  void RecordCompletion(routing_time now);
  /// True when a request of `level` must wait behind others.
  bool HasWaiting(priority level) const;

  /// Waiting requests by class, urgent first.
  std::array<std::size_t, 3> sizes() const;
  /// Completions a second, averaged over about a second.
  double completion_rate(routing_time now) const;

 private:
  struct waiting_request {
    ticket id;
    target_request request;
  };

  std::array<std::deque<waiting_request>, 3> waiting_;
  ticket next_ticket_ = 1;
  // Completions of the current and the previous second.
  routing_time window_start_;
  std::int64_t current_completions_ = 0;
  std::int64_t previous_completions_ = 0;
};

}  // namespace hickorystall::state
