#pragma once

#include <chrono>

namespace hickorystall::state {

/// Limits a rate: tokens arrive evenly up to a burst, and each admitted event takes one.
class token_bucket {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  /// `rate` is in tokens a second; 0 means no limit. The bucket starts full.
  token_bucket(double rate, double burst);

  /// Takes a token at `now`; false when there is none.
  bool TryConsume(time_point now);
  /// Changes the limits and keeps the tokens collected, up to the new burst.
  void Configure(double rate, double burst);
  /// Tokens at the last TryConsume.
  double tokens() const { return tokens_; }

 private:
  double rate_;
  double burst_;
  double tokens_;
  time_point updated_;
};

/// Limits retries to a share of the first attempts, so that an outage causes at most 1 + share times the
/// traffic.
class retry_budget {
 public:
  /// Share of the first attempts that may be retried.
  static constexpr double kShare = 0.2;
  /// Retries that can be saved up; also what a new budget starts with.
  static constexpr double kBurst = 5.0;

  /// Records a first attempt.
  void RecordFirstAttempt();
  /// True when a retry is allowed now.
  bool MayRetry() const { return allowance_ >= 1; }
  /// Takes one retry. Call only when MayRetry is true.
  void ConsumeRetry();
  /// Retries allowed now.
  double allowance() const { return allowance_; }

 private:
  double allowance_ = kBurst;
};

}  // namespace hickorystall::state
