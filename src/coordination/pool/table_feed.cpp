#include "coordination/pool/table_feed.h"

#include <algorithm>
#include <utility>

#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::coordination::pool {

using state::pool::boot_time;
using std::chrono::milliseconds;
using transport::BootNow;

namespace {

// Maximum wait of one feed call. An empty reply proves that nothing has changed, so the wait bounds the age
// of the knowledge while nothing changes. It is half of the shortest notice after which a leaving worker may
// not receive work.
constexpr milliseconds kFeedWait{1000};
// Timeout of a reply, in addition to the wait. After it, the call is repeated on a new connection: an open
// one may have gone silent.
constexpr milliseconds kReplyTimeout{1000};
constexpr milliseconds kRetryPause{200};

}  // namespace

table_feed::table_feed(pool_store& store, event_log& log, feed_source source)
    : store_(store), log_(log), source_(std::move(source)) {}

void table_feed::Begin(std::int64_t version, boot_time read_at) {
  position_ = version;
  newest_version_ = version;
  fresh_at_ = read_at;
}

void table_feed::LogOutcome(const absl::Status& status) {
  if (status.ok()) {
    if (failing_since_) {
      log_.Write("feed", "regained",
                 {{"table", source_.table},
                  {"lost_ms", std::to_string((BootNow() - *failing_since_).count())},
                  {"version", std::to_string(newest_version_)}});
    }
    failing_since_.reset();
    return;
  }
  if (failing_since_) return;
  failing_since_ = BootNow();
  log_.Write("feed", "lost",
             {{"table", source_.table},
              {"age_ms", std::to_string((BootNow() - fresh_at_).count())},
              {"version", std::to_string(newest_version_)},
              {"reason", std::string(status.message())}});
}

boost::asio::awaitable<feed_update> table_feed::Next() {
  feed_update update;
  if (position_) {
    update = co_await Follow();
  } else {
    update = co_await ReadAll();
  }
  // A feed whose history is gone is read anew at once.
  if (!update.ok && position_) co_await transport::Sleep(kRetryPause);
  co_return update;
}

boost::asio::awaitable<feed_update> table_feed::Follow() {
  const boot_time sent_at = BootNow();
  // After a failure an immediate reply shows soonest whether anything was missed.
  const milliseconds wait = failing_since_ ? milliseconds(0) : kFeedWait;
  rows_result result = co_await store_.Follow(source_.table, *position_, wait, kReplyTimeout);
  feed_update update;
  if (absl::IsOutOfRange(result.status)) {
    log_.Write("feed", "history gone", {{"table", source_.table}, {"position", std::to_string(*position_)}});
    position_.reset();
    co_return update;
  }
  LogOutcome(result.status);
  if (!result.status.ok()) co_return update;
  position_ = result.version;
  newest_version_ = std::max(newest_version_, result.version);
  // An empty reply is sent after the whole wait, so nothing had changed by then.
  const bool waited = result.rows.empty() && BootNow() - sent_at >= wait;
  fresh_at_ = std::max(fresh_at_, waited ? sent_at + wait : sent_at);
  update.ok = true;
  update.rows = std::move(result.rows);
  co_return update;
}

boost::asio::awaitable<feed_update> table_feed::ReadAll() {
  const boot_time sent_at = BootNow();
  feed_update update;
  update.is_snapshot = true;
  std::optional<std::int64_t> version;
  absl::Status status;
  for (const std::string& partition : source_.partitions) {
    rows_result result = co_await store_.ReadRange(source_.table, partition, "", "", kReplyTimeout);
    status = result.status;
    if (status.ok() && result.version < newest_version_) {
      status = absl::UnavailableError("the store returned an older version than before");
    }
    if (!status.ok()) break;
    // The feed continues from the first read, so that it returns every change made after any of the reads.
    if (!version) version = result.version;
    std::move(result.rows.begin(), result.rows.end(), std::back_inserter(update.rows));
  }
  LogOutcome(status);
  if (!status.ok()) {
    update.rows.clear();
    co_await transport::Sleep(kRetryPause);
    co_return update;
  }
  Begin(*version, sent_at);
  update.ok = true;
  co_return update;
}

}  // namespace hickorystall::coordination::pool
