#pragma once

#include <chrono>

namespace hickorystall::state {

/// Limits a rate: tokens accrue evenly up to a burst, and each admitted event consumes one.
class token_bucket {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  /// `rate` is in tokens per second; 0 means no limit. The bucket starts full, with `burst` tokens.
  token_bucket(double rate, double burst);

  /// Consumes a token at `now`. Returns false when there is none.
  bool TryConsume(time_point now);
  /// Changes the limits. The accrued tokens are kept, up to the new burst.
  void Configure(double rate, double burst);
  /// Tokens left after the last TryConsume.
  double tokens() const { return tokens_; }

 private:
  double rate_;
  double burst_;
  double tokens_;
  time_point updated_;
};

/// Limits retries to a share of the first attempts, so that an outage multiplies the traffic by at most 1 +
/// kShare.
class retry_budget {
 public:
  /// Retries earned by each first attempt.
  static constexpr double kShare = 0.2;
  /// Upper limit of the allowance, in retries; also the allowance of a new budget.
  static constexpr double kBurst = 5.0;

  /// Adds kShare of a retry to the allowance.
  void RecordFirstAttempt();
  /// True when at least one whole retry is left.
  bool MayRetry() const { return allowance_ >= 1; }
  /// Consumes one retry. Call only when MayRetry is true.
  void ConsumeRetry();
  /// Retries left; may be fractional.
  double allowance() const { return allowance_; }

 private:
  double allowance_ = kBurst;
};

}  // namespace hickorystall::state
