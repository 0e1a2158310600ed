#include "transport/descriptor_budget.h"

#include <cassert>

namespace hickorystall::transport {

descriptor_budget::descriptor_budget(int max_descriptors)
    : total_(std::max(max_descriptors - kOwnDescriptors, kMinReserve)),
      common_(std::max(total_ + kOwnDescriptors - std::max(kMinReserve, max_descriptors / kReserveDivisor),
                       kMinReserve / 2)) {}

bool descriptor_budget::IsFree(descriptor_use use) const {
  if (use == descriptor_use::kReserved) return used() < total_;
  if (use == descriptor_use::kIncoming && incoming_ >= max_incoming()) return false;
  return used() < common_;
}

bool descriptor_budget::TryAcquire(descriptor_use use) {
  const bool is_over_share = use == descriptor_use::kIncoming && incoming_ >= max_incoming();
  while (!IsFree(use)) {
    // Closing an idle outgoing connection does not help against the limit of incoming ones.
    if (is_over_share || !reclaim_ || !reclaim_()) {
      // A client that finds its share used may take the place of another one.
      if (use != descriptor_use::kIncoming) ++refused_;
      return false;
    }
  }
  ++(use == descriptor_use::kIncoming ? incoming_ : other_);
  return true;
}

void descriptor_budget::Release(descriptor_use use) {
  int& count = use == descriptor_use::kIncoming ? incoming_ : other_;
  assert(count > 0);
  --count;
}

}  // namespace hickorystall::transport
