#include "coordination/pool/ownership.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "coordination/pool/pool_tables.h"
#include "state/pool/admission/admission_decision.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::coordination::pool {

using nlohmann::json;
using state::pool::boot_time;
using std::chrono::milliseconds;
using transport::BootNow;

namespace {

// Timeout of a store reply, after which the call is repeated on a new connection.
constexpr milliseconds kReplyTimeout{800};
// Pause after a failed call.
constexpr milliseconds kRetryPause{150};
// Age from which on a projection is not written: no VM uses an older one.
constexpr milliseconds kMaxProjectionAge{state::pool::admission::admission_rules{}.max_age};

// Returns the time from now until `end` as it is written into the lease row: a reader adds it to the time at
// which it reads the row.
std::int64_t MillisecondsUntil(boot_time end) { return std::max(milliseconds(0), end - BootNow()).count(); }

}  // namespace

ownership::ownership(pool_store& store, event_log& log, ownership_settings settings)
    : store_(store), log_(log), settings_(std::move(settings)) {}

bool ownership::HasAuthority() const {
  return epoch_ > 0 && !stopping_ && !releasing_ && BootNow() < confirmed_at_ + settings_.authority;
}

boost::asio::awaitable<void> ownership::Run() {
  // Run was ended by an exception during a release: the pool's owner is stopped, so the lease must not be
  // renewed for it.
  if (std::exchange(releasing_, false)) Lose("the release failed");
  while (!stopping_) {
    if (is_owner() && !successor_.empty()) {
      co_await HandOver();
    } else if (is_owner()) {
      co_await RenewOnce();
    } else {
      co_await FollowOnce();
      if (!stopping_ && MayTakeOver()) co_await TryTakeover();
    }
  }
  if (is_owner()) co_await Release("");
  ended_ = true;
}

std::string ownership::LeaseValue(std::int64_t epoch, boot_time former_authority_end) const {
  json value{{"holder", settings_.incarnation},
             {"vm", settings_.instance},
             {"address", settings_.address},
             {"epoch", epoch},
             {"earlier_authority_ms", MillisecondsUntil(former_authority_end)}};
  // Without a plan, such as one that is held back, the last projection ages and is left out.
  const milliseconds age = BootNow() - own_projection_.made_at;
  if (epoch == epoch_ && !own_projection_.projection.services.empty() && age <= kMaxProjectionAge) {
    value["admission"] = EncodeProjection(own_projection_.projection, age);
  }
  return value.dump();
}

void ownership::SetProjection(state::pool::admission::admission_projection projection, boot_time made_at) {
  own_projection_ = {std::move(projection), made_at};
}

admission_view ownership::admission() const {
  admission_view view;
  if (is_owner()) {
    view = own_projection_;
  } else {
    view.projection = seen_.projection;
    view.made_at = seen_.projection_made_at;
  }
  return view;
}

void ownership::HandleRead(const rows_result& result, boot_time sent_at) {
  position_ = result.version;
  store_version_ = std::max(store_version_, result.version);
  last_read_sent_at_ = sent_at;
}

void ownership::ApplyRow(const stored_row& row) {
  if (row.partition != kPoolPartition) return;
  const json value = row.removed ? json() : json::parse(row.value, nullptr, false);
  // A field of another type counts as missing.
  const auto field = [&value](const char* name) {
    return value.is_object() ? value.value(name, json()) : json();
  };
  if (row.key == kEpochKey) {
    const json epoch = field("epoch");
    seen_.epoch = epoch.is_number_integer() ? epoch.get<std::int64_t>() : 0;
    seen_.epoch_version = row.removed ? 0 : row.version;
  } else if (row.key == kLeaseKey) {
    if (row.version != seen_.lease_version) {
      unchanged_since_ = BootNow();
      seen_.lease_seen_at = unchanged_since_;
    }
    const auto text = [&field](const char* name) {
      const json entry = field(name);
      return entry.is_string() ? entry.get<std::string>() : std::string();
    };
    seen_.holder = text("holder");
    seen_.vm = text("vm");
    seen_.address = text("address");
    seen_.successor = text("successor");
    const json earlier = field("earlier_authority_ms");
    seen_.earlier_authority = milliseconds(earlier.is_number_integer() ? earlier.get<std::int64_t>() : 0);
    if (row.version != seen_.lease_version || row.removed) {
      const stored_projection stored = DecodeProjection(field("admission"));
      seen_.projection = stored.projection;
      // The row was written after the previous read, or else at an unknown time.
      const bool is_known = last_read_sent_at_ != boot_time{};
      seen_.projection_made_at = is_known ? last_read_sent_at_ - stored.age : boot_time{};
    }
    seen_.lease_version = row.removed ? 0 : row.version;
  }
}

boost::asio::awaitable<void> ownership::FollowOnce() {
  rows_result result;
  // Hundreds of VMs that follow each renewal would make most of the calls to the store.
  if (position_ && is_standby_) co_await transport::Sleep(settings_.standby_delay);
  const boot_time sent_at = BootNow();
  if (!position_ || is_standby_) {
    result = co_await store_.ReadRange(kOwnershipTable, kPoolPartition, "", "", kReplyTimeout);
  } else {
    // The wait ends when this VM may be able to take over.
    const milliseconds left = settings_.takeover_timeout - (BootNow() - unchanged_since_);
    const milliseconds wait = std::clamp(left, milliseconds(50), settings_.takeover_timeout);
    result = co_await store_.Follow(kOwnershipTable, *position_, wait, kReplyTimeout);
  }
  if (!result.status.ok()) {
    // Without the store this VM cannot tell whether the lease is being renewed.
    unchanged_since_ = BootNow() + kRetryPause;
    position_.reset();
    co_await transport::Sleep(kRetryPause);
    co_return;
  }
  if (!position_ && unchanged_since_ == boot_time{}) unchanged_since_ = BootNow();
  for (const stored_row& row : result.rows) ApplyRow(row);
  HandleRead(result, sent_at);
  last_contact_ = BootNow();
}

bool ownership::HasHolderEnded() const {
  if (seen_.lease_version == 0 || seen_.holder.empty()) return true;
  return seen_.vm == settings_.instance && seen_.address == settings_.address;
}

// The row was sent before it was first read, so counting from the latter can only be too late. The takeover
// depends on the row's version: a renewal that this VM has not seen makes it fail.
boot_time ownership::LatestEnd(milliseconds left) const {
  return seen_.lease_seen_at + left + settings_.margin;
}

// The holder's end does not end the authority of an owner before it, which may be cut off from the store
// only.
boot_time ownership::FormerAuthorityEnd(boot_time now) const {
  const boot_time holder_end = HasHolderEnded() ? now : LatestEnd(settings_.authority);
  if (seen_.earlier_authority <= milliseconds(0)) return holder_end;
  return std::max(holder_end, LatestEnd(seen_.earlier_authority));
}

bool ownership::MayTakeOver() const {
  if (!position_) return false;
  return HasHolderEnded() || BootNow() - unchanged_since_ >= settings_.takeover_timeout;
}

milliseconds ownership::TakeoverDelay() const {
  if (seen_.successor == settings_.instance) return milliseconds(0);
  const bool is_other_named = !seen_.successor.empty();
  const milliseconds extra = is_standby_ || is_other_named ? settings_.standby_delay : milliseconds(0);
  return settings_.takeover_delay + extra;
}

// Waits for the takeover delay, so that VMs with a shorter delay can take over first. Returns false when the
// lease row has changed meanwhile or cannot be read.
boost::asio::awaitable<bool> ownership::WaitForPreferredVms() {
  const std::int64_t version = seen_.lease_version;
  co_await transport::Sleep(TakeoverDelay());
  const boot_time sent_at = BootNow();
  const rows_result rows = co_await store_.ReadRange(kOwnershipTable, kPoolPartition, "", "", kReplyTimeout);
  if (!rows.status.ok()) {
    position_.reset();
    co_return false;
  }
  for (const stored_row& row : rows.rows) ApplyRow(row);
  HandleRead(rows, sent_at);
  co_return seen_.lease_version == version;
}

boost::asio::awaitable<void> ownership::TryTakeover() {
  const bool is_own_vm = seen_.lease_version != 0 && !seen_.holder.empty() && HasHolderEnded();
  if (!is_own_vm && TakeoverDelay().count() > 0) {
    const bool is_unchanged = co_await WaitForPreferredVms();
    if (!is_unchanged || stopping_) co_return;
  }
  const bool holder_has_ended = HasHolderEnded();
  const boot_time sent_at = BootNow();
  const boot_time former_authority_end = FormerAuthorityEnd(sent_at);
  const std::int64_t epoch = seen_.epoch + 1;
  store_transaction transaction;
  transaction.conditions = {{kOwnershipTable, kEpochKey, seen_.epoch_version},
                            {kOwnershipTable, kLeaseKey, seen_.lease_version}};
  const std::string epoch_value = json{{"epoch", epoch}, {"holder", settings_.incarnation}}.dump();
  transaction.changes = {{kOwnershipTable, kEpochKey, epoch_value},
                         {kOwnershipTable, kLeaseKey, LeaseValue(epoch, former_authority_end)}};
  // All epoch rows are written in one transaction, so they have the same version.
  for (const std::string_view partition : kJobPartitions) {
    transaction.changes.push_back({kOwnershipTable, kEpochKey, epoch_value, std::string(partition)});
  }
  const transaction_result result = co_await store_.Apply(std::move(transaction), kReplyTimeout);
  if (result.outcome != transaction_outcome::kDone) {
    // When the reply was lost, the rows show whether the transaction was applied. If it was, this VM finds
    // itself to be the holder and takes over from itself with the next epoch.
    position_.reset();
    unchanged_since_ = BootNow();
    co_await transport::Sleep(kRetryPause);
    co_return;
  }
  // A reading of an earlier ownership may be from before a restart of the store.
  store_clock_.reset();
  ReadStoreClock(result, sent_at);
  own_projection_ = {};
  store_version_ = std::max(store_version_, result.version);
  epoch_ = epoch;
  epoch_version_ = result.version;
  lease_version_ = result.version;
  confirmed_at_ = sent_at;
  predecessor_authority_end_ = former_authority_end;
  log_.Write("ownership", "gained",
             {{"epoch", std::to_string(epoch_)},
              {"previous", seen_.holder.empty() ? "none" : seen_.holder},
              {"previous_ended", holder_has_ended ? "yes" : "unknown"},
              {"unchanged_ms", std::to_string((BootNow() - unchanged_since_).count())},
              {"authority_left_ms", std::to_string((predecessor_authority_end_ - BootNow()).count())}});
  if (listener_) listener_(true);
}

void ownership::ReadStoreClock(const transaction_result& result, boot_time sent_at) {
  if (result.store_time) store_clock_ = store_clock_reading{sent_at, BootNow(), *result.store_time};
}

boost::asio::awaitable<void> ownership::RenewOnce() {
  const boot_time next = BootNow() + settings_.renewal;
  const boot_time sent_at = BootNow();
  store_transaction transaction;
  transaction.conditions = {{kOwnershipTable, kEpochKey, epoch_version_},
                            {kOwnershipTable, kLeaseKey, lease_version_}};
  transaction.changes = {{kOwnershipTable, kLeaseKey, LeaseValue(epoch_, predecessor_authority_end_)}};
  const transaction_result result = co_await store_.Apply(std::move(transaction), kReplyTimeout);
  if (!is_owner()) co_return;
  if (result.outcome == transaction_outcome::kDone) {
    const bool was_late = sent_at - confirmed_at_ >= settings_.authority;
    if (was_late) log_.Write("ownership", "renewed late", {{"epoch", std::to_string(epoch_)}});
    lease_version_ = result.version;
    store_version_ = std::max(store_version_, result.version);
    confirmed_at_ = sent_at;
    ReadStoreClock(result, sent_at);
    last_contact_ = BootNow();
    while (!stopping_ && is_owner() && successor_.empty() && BootNow() < next) {
      co_await transport::Sleep(std::min(milliseconds(100), next - BootNow()));
    }
    co_return;
  }
  if (result.outcome == transaction_outcome::kConflict) {
    bool is_own = false;
    for (const stored_row& row : result.current) {
      if (row.key == kEpochKey && row.version != epoch_version_) {
        Lose("another VM has a higher epoch");
        co_return;
      }
      if (row.key != kLeaseKey) continue;
      const json value = json::parse(row.value, nullptr, false);
      is_own = value.is_object() && value.value("holder", "") == settings_.incarnation;
      // An earlier renewal was applied and its reply was lost.
      if (is_own) lease_version_ = row.version;
    }
    if (!is_own) Lose("another VM holds the lease");
    co_return;
  }
  co_await transport::Sleep(kRetryPause);
}

void ownership::Lose(const std::string& reason) {
  if (!is_owner()) return;
  log_.Write("ownership", "lost", {{"epoch", std::to_string(epoch_)}, {"reason", reason}});
  epoch_ = 0;
  position_.reset();
  seen_ = {};
  // The next row may be of any age.
  last_read_sent_at_ = {};
  unchanged_since_ = BootNow();
  if (listener_) listener_(false);
}

boost::asio::awaitable<void> ownership::Release(std::string successor) {
  // HasAuthority already returns false, so no order is sent once another VM knows that this owner has ended.
  releasing_ = true;
  const std::int64_t epoch = epoch_;
  if (listener_) listener_(false);
  store_transaction transaction;
  transaction.conditions = {{kOwnershipTable, kEpochKey, epoch_version_}};
  const json value{{"holder", ""},
                   {"epoch", epoch},
                   {"successor", successor},
                   {"earlier_authority_ms", MillisecondsUntil(predecessor_authority_end_)}};
  transaction.changes = {{kOwnershipTable, kLeaseKey, value.dump()}};
  const transaction_result result = co_await store_.Apply(std::move(transaction), kReplyTimeout);
  log_.Write("ownership", "released",
             {{"epoch", std::to_string(epoch)},
              {"successor", successor.empty() ? "any" : successor},
              {"stored", result.outcome == transaction_outcome::kDone ? "yes" : "unknown"}});
  epoch_ = 0;
}

boost::asio::awaitable<void> ownership::HandOver() {
  co_await Release(std::exchange(successor_, ""));
  releasing_ = false;
  position_.reset();
  seen_ = {};
  last_read_sent_at_ = {};
  unchanged_since_ = BootNow();
}

}  // namespace hickorystall::coordination::pool
