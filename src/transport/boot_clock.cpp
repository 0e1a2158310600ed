#include "transport/boot_clock.h"

#include <time.h>

#include <algorithm>
#include <cassert>
#include <vector>

namespace hickorystall::transport {
namespace {

// Size of the median's window: one minute at one reading a second. Jumps of the wall clock last some seconds.
constexpr std::size_t kMaxSamples = 61;

}  // namespace

state::pool::boot_time BootNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return state::pool::boot_time(std::chrono::milliseconds(now.tv_sec * 1000 + now.tv_nsec / 1'000'000));
}

state::pool::unix_time WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

void smoothed_wall_clock::Sample(state::pool::boot_time boot_now, state::pool::unix_time wall_now) {
  offsets_.push_back(wall_now.time_since_epoch() - boot_now.time_since_epoch());
  if (offsets_.size() > kMaxSamples) offsets_.pop_front();
}

state::pool::unix_time smoothed_wall_clock::At(state::pool::boot_time boot_now) const {
  assert(!offsets_.empty());
  std::vector<std::chrono::milliseconds> sorted(offsets_.begin(), offsets_.end());
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return state::pool::unix_time(boot_now.time_since_epoch() + *middle);
}

}  // namespace hickorystall::transport
