#include "coordination/pool/config_follower.h"

#include <algorithm>

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
// Least of these, so that a very small limit on the age of the evacuations does not load the store.
constexpr milliseconds kMinFeedWait{20};
// Timeout of a store reply: several times as long as a slow store takes.
constexpr milliseconds kReplyTimeout{1200};
// Pause after a failure, so that the VMs do not overload a store that is down.
constexpr milliseconds kRetryPause{250};

// Half of the limit leaves the other half for the reply and the next call.
milliseconds FeedWait(milliseconds max_age) {
  return max_age == milliseconds(0) ? kFeedWait : std::clamp(max_age / 2, kMinFeedWait, kFeedWait);
}

}  // namespace

config_follower::config_follower(pool_store& store, event_log& log, config_source source)
    : store_(store),
      log_(log),
      source_(std::move(source)),
      feed_wait_(FeedWait(source_.max_evacuation_age)) {}

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

boost::asio::awaitable<void> config_follower::Refresh() { co_await ReadAll(); }

boost::asio::awaitable<bool> config_follower::ReadAll() {
  const state::pool::boot_time sent_at = BootNow();
  const rows_result result = co_await store_.ReadRange(source_.table, kPoolPartition, "", "", kReplyTimeout);
  // An older version than the known one shows neither the present rows nor their age.
  if (!result.status.ok() || result.version < position_) co_return false;
  ApplyRows(result.rows, true);
  position_ = result.version;
  fresh_at_ = std::max(fresh_at_, sent_at);
  co_return true;
}

boost::asio::awaitable<bool> config_follower::FollowOnce() {
  const state::pool::boot_time sent_at = BootNow();
  const std::int64_t position = position_;
  const rows_result result = co_await store_.Follow(source_.table, position, feed_wait_, kReplyTimeout);
  if (!result.status.ok() || result.version < position) co_return false;
  // Refresh has read a newer version meanwhile, so these rows may have changed again.
  if (result.version < position_) co_return true;
  ApplyRows(result.rows, false);
  position_ = result.version;
  // An empty reply is sent after the whole wait, so nothing had changed by then.
  const bool waited = result.rows.empty() && BootNow() - sent_at >= feed_wait_;
  fresh_at_ = std::max(fresh_at_, waited ? sent_at + feed_wait_ : sent_at);
  co_return true;
}

void config_follower::ApplyRows(const std::vector<stored_row>& rows, bool is_snapshot) {
  state::pool::evacuation_set evacuations;
  if (!is_snapshot) evacuations = *evacuations_;
  for (const stored_row& row : rows) {
    ApplyConfig(row);
    ApplyEvacuation(row, evacuations);
  }
  if (evacuations == *evacuations_) return;
  evacuations_ = std::make_shared<const state::pool::evacuation_set>(std::move(evacuations));
  if (listener_) listener_();
}

void config_follower::ApplyConfig(const stored_row& row) {
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

// Only the key counts: the operator's intent is clear even if the value is unreadable.
void config_follower::ApplyEvacuation(const stored_row& row, state::pool::evacuation_set& evacuations) {
  if (source_.evacuated_domain == nullptr || row.partition != kPoolPartition) return;
  const std::optional<std::string> domain = source_.evacuated_domain(row.key);
  if (!domain) return;
  if (domain->empty()) {
    if (!has_logged_unnamed_) log_.Write("config", "evacuation without a domain ignored", {{"key", row.key}});
    has_logged_unnamed_ = true;
    return;
  }
  if (row.removed) {
    evacuations.domains.erase(*domain);
    return;
  }
  const auto known = evacuations_->domains.find(*domain);
  evacuations.domains.emplace(*domain, known == evacuations_->domains.end() ? BootNow() : known->second);
}

}  // namespace hickorystall::coordination::pool
