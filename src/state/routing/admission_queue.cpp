#include "state/routing/admission_queue.h"

#include <algorithm>

namespace hickorystall::state {
namespace {

// Completions per window below which the rate is too uncertain to refuse a request.
constexpr std::int64_t kMinCompletions = 10;

}  // namespace

double admission_queue::completion_rate(routing_time now) const { return completions_.PerSecond(now); }

bool admission_queue::WouldExpire(priority level, std::chrono::milliseconds max_wait,
                                  routing_time now) const {
  const double rate = completion_rate(now);
  if (rate < kMinCompletions) return false;
  std::size_t ahead = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(level); ++i) ahead += waiting_[i].size();
  return static_cast<double>(ahead) / rate > std::chrono::duration<double>(max_wait).count();
}

admission_queue::ticket admission_queue::Add(priority level, target_request request) {
  const ticket id = next_ticket_++;
  waiting_[static_cast<std::size_t>(level)].push_back({id, std::move(request)});
  return id;
}

bool admission_queue::Remove(ticket id) {
  for (auto& queue : waiting_) {
    const auto found =
        std::find_if(queue.begin(), queue.end(), [id](const waiting_request& item) { return item.id == id; });
    if (found == queue.end()) continue;
    queue.erase(found);
    return true;
  }
  return false;
}

void admission_queue::Serve(const std::function<bool(ticket, const target_request&)>& serve) {
  // The request after one that has restrictions may still get a target. When a request without restrictions
  // gets none, no target is open, so the loop ends.
  for (auto& queue : waiting_) {
    for (auto item = queue.begin(); item != queue.end();) {
      if (serve(item->id, item->request)) {
        item = queue.erase(item);
      } else if (item->request.excluded.empty() && item->request.may_probe) {
        return;
      } else {
        ++item;
      }
    }
  }
}

void admission_queue::RecordCompletion(routing_time now) { completions_.Add(1, now); }

bool admission_queue::HasWaiting(priority level) const {
  for (std::size_t i = 0; i <= static_cast<std::size_t>(level); ++i) {
    if (!waiting_[i].empty()) return true;
  }
  return false;
}

std::array<std::size_t, 3> admission_queue::sizes() const {
  return {waiting_[0].size(), waiting_[1].size(), waiting_[2].size()};
}

}  // namespace hickorystall::state
