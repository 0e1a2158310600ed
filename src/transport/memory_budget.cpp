#include "transport/memory_budget.h"

namespace hickorystall::transport {

bool memory_budget::TryChange(std::size_t held, std::size_t wanted) {
  const std::size_t after = used_ - held + wanted;
  const std::size_t limit = wanted <= kSmallBytes ? limit_ : limit_ - limit_ / 4;
  if (wanted > held && after > limit) return false;
  used_ = after;
  return true;
}

bool memory_charge::TrySet(std::size_t bytes) {
  if (budget_ != nullptr && !budget_->TryChange(bytes_, bytes)) return false;
  bytes_ = bytes;
  return true;
}

void memory_charge::Set(std::size_t bytes) {
  if (budget_ != nullptr) budget_->Change(bytes_, bytes);
  bytes_ = bytes;
}

}  // namespace hickorystall::transport
