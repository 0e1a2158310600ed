#include "coordination/pool/config_follower.h"

#include "coordination/pool/pool_tables.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::coordination::pool {

using std::chrono::milliseconds;
using transport::BootNow;

namespace {

// Longest wait of one feed call. Each answer proves freshness, and a quiet feed is as fresh as its last
// answer.
constexpr milliseconds kWait{1000};
// Time for an answer of the store, several times what it takes while it is slow.
constexpr milliseconds kAnswerTimeout{1200};
// Pause after a failure, so that a store that is down is not pressed by every VM.
constexpr milliseconds kRetryPause{250};

}  // namespace

config_follower::config_follower(pool_store& store, event_log& log, config_source source)
    : store_(store), log_(log), source_(std::move(source)) {}

boost::asio::awaitable<void> config_follower::Run() {
  bool known = false;
  while (!stopped_) {
    bool answered = false;
    if (known) {
      answered = co_await FollowOnce();
    } else {
      answered = co_await ReadWhole();
    }
    if (answered != reachable_) log_.Write("config", answered ? "store regained" : "store lost", {});
    reachable_ = answered;
    known = answered;
    if (!answered) co_await transport::Sleep(kRetryPause);
  }
}

boost::asio::awaitable<bool> config_follower::ReadWhole() {
  const state::pool::boot_time sent_at = BootNow();
  const rows_result result = co_await store_.ReadRange(source_.table, kPoolPartition, source_.key,
                                                       source_.key + '!', kAnswerTimeout);
  if (!result.status.ok()) co_return false;
  for (const stored_row& row : result.rows) Take(row);
  position_ = result.version;
  fresh_at_ = sent_at;
  co_return true;
}

boost::asio::awaitable<bool> config_follower::FollowOnce() {
  const state::pool::boot_time sent_at = BootNow();
  const rows_result result = co_await store_.Follow(source_.table, position_, kWait, kAnswerTimeout);
  if (!result.status.ok()) co_return false;
  for (const stored_row& row : result.rows) Take(row);
  position_ = result.version;
  // An empty answer comes after the whole wait, so nothing had changed by then.
  const bool waited = result.rows.empty() && BootNow() - sent_at >= kWait;
  fresh_at_ = waited ? sent_at + kWait : sent_at;
  co_return true;
}

void config_follower::Take(const stored_row& row) {
  if (row.key != source_.key || row.removed) return;
  absl::StatusOr<state::pool::pool_config> decoded = source_.decode(row.value);
  if (!decoded.ok()) {
    log_.Write("config", "unreadable configuration", {{"reason", std::string(decoded.status().message())}});
    return;
  }
  if (config_ != nullptr && decoded->version <= config_->version) return;
  config_ = std::make_shared<const state::pool::pool_config>(*std::move(decoded));
  log_.Write("config", "in force", {{"version", std::to_string(config_->version)}});
  if (listener_) listener_();
}

}  // namespace hickorystall::coordination::pool
