#include "coordination/pool_lease.h"

#include <glog/logging.h>

#include <algorithm>
#include <cassert>

#include "protocol/job_codec.h"
#include "protocol/token_hash.h"
#include "transport/async_event.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

json ParseObject(const std::string& text) {
  json value = json::parse(text, nullptr, false);
  return value.is_object() ? value : json::object();
}

}  // namespace

pool_lease::pool_lease(protocol::table_client& table, pool_lease_settings settings)
    : table_(table), settings_(std::move(settings)) {}

asio::awaitable<void> pool_lease::Run(std::function<bool()> stop) {
  while (!stop()) {
    const clock::time_point started = clock::now();
    co_await Step();
    const auto interval = holds_epoch() ? settings_.renew_interval : settings_.challenge_interval;
    const clock::time_point next = started + interval;
    if (const clock::time_point now = clock::now(); now < next) co_await transport::Sleep(next - now);
  }
}

asio::awaitable<void> pool_lease::Step() {
  if (releasing_) co_return;
  if (holds_epoch()) {
    co_await Renew();
  } else {
    co_await Challenge();
  }
}

protocol::table_condition pool_lease::condition() const {
  assert(holds_epoch());
  return {protocol::PoolEpochKey(settings_.pool), epoch_version_};
}

void pool_lease::MarkLost() {
  if (epoch_version_ == 0) return;
  LOG(WARNING) << "scheduler: pool " << settings_.pool << " is owned by another instance";
  epoch_version_ = 0;
  seen_epoch_ = -1;
}

asio::awaitable<void> pool_lease::Renew() {
  const clock::time_point sent_at = clock::now();
  protocol::table_transaction transaction;
  transaction.conditions.push_back(condition());
  const json value = {{"owner", settings_.instance}, {"counter", ++renewals_}};
  transaction.puts.push_back({protocol::PoolRenewalKey(settings_.pool), value.dump()});
  const absl::StatusOr<std::int64_t> commit = co_await table_.Transact(std::move(transaction));
  if (commit.ok()) valid_until_ = std::max(valid_until_, sent_at + settings_.term);
  // A lost reply needs no handling: the renewal either counted for the challengers or not, and the next one
  // follows.
  if (absl::IsAborted(commit.status())) MarkLost();
}

asio::awaitable<void> pool_lease::Challenge() {
  const clock::time_point requested_at = clock::now();
  const absl::StatusOr<protocol::table_row> epoch =
      co_await table_.Read(protocol::PoolEpochKey(settings_.pool));
  if (!epoch.ok()) co_return;
  const absl::StatusOr<protocol::table_row> renewal =
      co_await table_.Read(protocol::PoolRenewalKey(settings_.pool));
  if (!renewal.ok()) co_return;
  const json owner = ParseObject(epoch->value);
  seen_owner_ = owner.value("owner", "");
  if (epoch->version != seen_epoch_ || renewal->version != seen_renewal_) {
    seen_epoch_ = epoch->version;
    seen_renewal_ = renewal->version;
    // The rows may have been written as late as when the reply was read.
    unchanged_since_ = clock::now();
  }
  const bool vacant = epoch->version == 0 || owner.value("released", false);
  if (vacant || requested_at - unchanged_since_ > settings_.term) co_await Acquire(*epoch, *renewal);
}

asio::awaitable<void> pool_lease::Acquire(const protocol::table_row& epoch,
                                          const protocol::table_row& renewal) {
  const clock::time_point sent_at = clock::now();
  const std::string token = protocol::RandomId();
  const json value = {{"owner", settings_.instance}, {"writer", token}, {"released", false}};
  protocol::table_transaction transaction;
  transaction.conditions.push_back({epoch.key, epoch.version});
  transaction.conditions.push_back({renewal.key, renewal.version});
  transaction.puts.push_back({epoch.key, value.dump()});
  const absl::StatusOr<std::int64_t> commit = co_await table_.Transact(std::move(transaction));
  std::int64_t version = commit.ok() ? *commit : 0;
  if (absl::IsUnknown(commit.status())) {
    const absl::StatusOr<protocol::table_row> row = co_await table_.Read(epoch.key);
    if (row.ok() && ParseObject(row->value).value("writer", "") == token) version = row->version;
  }
  if (version == 0 || releasing_) co_return;
  epoch_version_ = version;
  valid_until_ = sent_at + settings_.term;
  ++acquisitions_;
  LOG(INFO) << "scheduler: instance " << settings_.instance << " owns pool " << settings_.pool
            << " with epoch version " << version << ", previous owner '" << seen_owner_ << "'";
}

asio::awaitable<void> pool_lease::Release() {
  releasing_ = true;
  if (!holds_epoch()) co_return;
  const json value = {{"owner", settings_.instance}, {"writer", ""}, {"released", true}};
  protocol::table_transaction transaction;
  transaction.conditions.push_back(condition());
  transaction.puts.push_back({protocol::PoolEpochKey(settings_.pool), value.dump()});
  epoch_version_ = 0;
  const absl::StatusOr<std::int64_t> commit = co_await table_.Transact(std::move(transaction));
  LOG(INFO) << "scheduler: instance " << settings_.instance << " released pool " << settings_.pool << ": "
            << commit.status().ToString();
}

json pool_lease::Dump(clock::time_point now) const {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(valid_until_ - now);
  return {{"pool", settings_.pool},
          {"owns", owns(now)},
          {"holds_epoch", holds_epoch()},
          {"epoch_version", epoch_version_},
          {"valid_ms", holds_epoch() ? left.count() : 0},
          {"last_seen_owner", holds_epoch() ? settings_.instance : seen_owner_}};
}

}  // namespace hickorystall::coordination
