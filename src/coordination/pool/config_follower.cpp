#include "coordination/pool/config_follower.h"

#include "coordination/pool/pool_tables.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::coordination::pool {

using std::chrono::milliseconds;
using transport::BootNow;

namespace {

// Maximum wait of one feed call. Each reply proves freshness, so without changes the configuration is as
// fresh as the last reply.
constexpr milliseconds kFeedWait{1000};
// Timeout of a store reply: several times as long as a slow store takes.
constexpr milliseconds kReplyTimeout{1200};
// Pause after a failure, so that the VMs do not overload a store that is down.
constexpr milliseconds kRetryPause{250};

}  // namespace

config_follower::config_follower(pool_store& store, event_log& log, config_source source)
    : store_(store), log_(log), source_(std::move(source)) {}

boost::asio::awaitable<void> config_follower::Run() {
  bool is_loaded = false;
  while (!stopped_) {
    bool replied = false;
    if (is_loaded) {
      replied = co_await FollowOnce();
    } else {
      replied = co_await ReadAll();
    }
    if (replied != reachable_) log_.Write("config", replied ? "store regained" : "store lost", {});
    reachable_ = replied;
    is_loaded = replied;
    if (!replied) co_await transport::Sleep(kRetryPause);
  }
}

boost::asio::awaitable<bool> config_follower::ReadAll() {
  const state::pool::boot_time sent_at = BootNow();
  const rows_result result =
      co_await store_.ReadRange(source_.table, kPoolPartition, source_.key, source_.key + '!', kReplyTimeout);
  if (!result.status.ok()) co_return false;
  for (const stored_row& row : result.rows) ApplyRow(row);
  position_ = result.version;
  fresh_at_ = sent_at;
  co_return true;
}

boost::asio::awaitable<bool> config_follower::FollowOnce() {
  const state::pool::boot_time sent_at = BootNow();
  const rows_result result = co_await store_.Follow(source_.table, position_, kFeedWait, kReplyTimeout);
  if (!result.status.ok()) co_return false;
  for (const stored_row& row : result.rows) ApplyRow(row);
  position_ = result.version;
  // An empty reply is sent after the whole wait, so nothing had changed by then.
  const bool waited = result.rows.empty() && BootNow() - sent_at >= kFeedWait;
  fresh_at_ = waited ? sent_at + kFeedWait : sent_at;
  co_return true;
}

void config_follower::ApplyRow(const stored_row& row) {
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
