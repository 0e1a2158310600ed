#include "transport/client_limits.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <vector>

#include "state/text.h"

namespace hickorystall::transport {

using std::chrono::milliseconds;
using clock = sheddable::clock;

namespace {

// Part of the budget that is freed at least, so that the connections are not examined again for the next few
// requests.
constexpr std::size_t kFreedDivisor = 16;
// A connection is not closed in favor of a new one before this time. Otherwise a burst of new ones would
// close each other before any of them could send a request.
constexpr milliseconds kProtectedTime{100};

struct candidate {
  bool is_large;
  clock::duration time;
  sheddable* connection;
};

}  // namespace

std::string_view LimitReasonName(limit_reason reason) {
  static constexpr std::array<std::string_view, kLimitReasons> kNames{
      "refused_connection", "shed_for_connection", "shed_for_memory", "refused_memory",
      "too_slow",           "headers_too_large",   "body_too_large",  "unread_response"};
  return kNames[static_cast<std::size_t>(reason)];
}

std::uint64_t client_limits::total_count() const {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

std::string client_limits::MetricsToText() const {
  const auto idle = std::count_if(connections_.begin(), connections_.end(),
                                  [](const sheddable* connection) { return connection->is_idle(); });
  std::string text;
  for (std::size_t i = 0; i < kLimitReasons; ++i) {
    text +=
        state::StrCat("hickorystall_clients_limited_total{reason=\"",
                      std::string(LimitReasonName(static_cast<limit_reason>(i))), "\"} ", counts_[i], "\n");
  }
  text += state::StrCat("hickorystall_client_bytes_held ", memory.used(), "\n");
  text += state::StrCat("hickorystall_client_bytes_limit ", memory.limit(), "\n");
  text += state::StrCat("hickorystall_client_connections{state=\"open\"} ", connections_.size(), "\n");
  text += state::StrCat("hickorystall_client_connections{state=\"idle\"} ", idle, "\n");
  text += state::StrCat("hickorystall_descriptors_used ", descriptors.used(), "\n");
  text += state::StrCat("hickorystall_descriptors_refused_total ", descriptors.refused(), "\n");
  return text;
}

bool client_limits::ShedForMemory(std::size_t bytes, const sheddable& self) {
  const clock::time_point now = clock::now();
  const clock::duration own_time = self.ExpectedTime(now).value_or(clock::duration::zero());
  std::vector<candidate> candidates;
  for (sheddable* connection : connections_) {
    const std::optional<clock::duration> time = connection->ExpectedTime(now);
    if (connection == &self || !time || *time <= own_time) continue;
    candidates.push_back({connection->held_bytes() > memory_budget::kSmallBytes, *time, connection});
  }
  std::sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
    return std::pair(a.is_large, a.time) > std::pair(b.is_large, b.time);
  });
  const std::size_t wanted = std::max(bytes, memory.limit() / kFreedDivisor);
  std::size_t freed = 0;
  for (const candidate& entry : candidates) {
    if (freed >= wanted) break;
    freed += entry.connection->held_bytes();
    entry.connection->Shed(limit_reason::kShedForMemory);
  }
  return freed > 0;
}

bool client_limits::ShedForConnection() {
  const clock::time_point now = clock::now();
  sheddable* slowest = nullptr;
  clock::duration longest = kProtectedTime;
  for (sheddable* connection : connections_) {
    const std::optional<clock::duration> time = connection->ExpectedTime(now);
    if (!time || *time < longest) continue;
    longest = *time;
    slowest = connection;
  }
  if (slowest == nullptr) return false;
  slowest->Shed(limit_reason::kShedForConnection);
  return true;
}

}  // namespace hickorystall::transport
