#include "state/routing/token_bucket.h"

#include <algorithm>
#include <cassert>

namespace hickorystall::state {

token_bucket::token_bucket(double rate, double burst) : rate_(rate), burst_(burst), tokens_(burst) {}

bool token_bucket::TryConsume(time_point now) {
  if (rate_ <= 0) return true;
  if (updated_ != time_point() && now > updated_) {
    const double seconds = std::chrono::duration<double>(now - updated_).count();
    tokens_ = std::min(burst_, tokens_ + seconds * rate_);
  }
  updated_ = std::max(updated_, now);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

void token_bucket::Configure(double rate, double burst) {
  rate_ = rate;
  burst_ = burst;
  tokens_ = std::min(tokens_, burst);
}

void retry_budget::RecordFirstAttempt() { allowance_ = std::min(kBurst, allowance_ + kShare); }

void retry_budget::ConsumeRetry() {
  assert(MayRetry());
  allowance_ -= 1;
}

}  // namespace hickorystall::state
