#include "coordination/pool/silence_record.h"

#include <nlohmann/json.hpp>

#include "coordination/pool/pool_tables.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::coordination::pool {

namespace asio = boost::asio;
using nlohmann::json;
using state::pool::boot_time;
using std::chrono::milliseconds;
using transport::BootNow;

namespace {

constexpr milliseconds kReplyTimeout{800};
constexpr milliseconds kRetryPause{200};
// Time for which an expired lease stays in the row: longer than rows of jobs name a worker whose runs have
// ended.
constexpr milliseconds kRetention{30'000};
// Interval at which the row is compared with the state in addition to each notification.
constexpr milliseconds kCheckInterval{1000};

}  // namespace

silence_record::silence_record(pool_store& store, event_log& log, ownership& owner,
                               state::pool::pool_state& state, const asio::any_io_executor& executor)
    : store_(store), log_(log), owner_(owner), state_(state), wake_(executor) {}

void silence_record::Stop() {
  stopped_ = true;
  wake_.Notify();
}

std::map<std::string, boot_time> silence_record::Load(const std::vector<stored_row>& rows) {
  std::map<std::string, boot_time> bounds;
  for (const stored_row& row : rows) {
    if (row.key != kSilentWorkersKey) continue;
    version_ = row.version;
    is_row_unknown_ = true;
    const json value = json::parse(row.value, nullptr, false);
    if (!value.is_object()) continue;
    // A program that does not know the row leaves it unchanged and grants leases all the same.
    const json epoch = value.value("epoch", json());
    if (!epoch.is_number_integer() || epoch.get<std::int64_t>() != owner_.epoch() - 1) continue;
    const json expiries = value.value("expire_ms", json::object());
    if (!expiries.is_object()) continue;
    for (const auto& [id, expiry] : expiries.items()) {
      if (expiry.is_number_integer()) stored_[id] = milliseconds(expiry.get<std::int64_t>());
    }
  }
  const std::optional<store_clock_reading>& clock = owner_.store_clock();
  if (!clock) stored_.clear();
  for (const auto& [id, expiry] : stored_) bounds[id] = clock->received_at + (expiry - clock->store_time);
  WithholdLeases();
  return bounds;
}

asio::awaitable<void> silence_record::Run() {
  while (!stopped_) {
    expiry_times wanted = Wanted();
    if (wanted == stored_ && !is_row_unknown_) {
      co_await wake_.Wait(kCheckInterval);
    } else {
      co_await Store(std::move(wanted));
    }
  }
}

silence_record::expiry_times silence_record::Wanted() const {
  expiry_times wanted;
  const std::optional<store_clock_reading>& clock = owner_.store_clock();
  if (!clock) return wanted;
  // Rows of jobs may name a worker for some time after its runs are known to have ended.
  const milliseconds oldest = clock->store_time - kRetention;
  for (const auto& [id, expiry] : stored_) {
    if (!state_.IsReplying(id) && expiry >= oldest) wanted[id] = expiry;
  }
  for (const auto& [id, bound] : state_.LeasesOfSilentWorkers(BootNow())) {
    wanted.emplace(id, clock->store_time + (bound - clock->sent_at));
  }
  return wanted;
}

asio::awaitable<void> silence_record::Store(expiry_times wanted) {
  std::set<std::string> added;
  for (const auto& [id, expiry] : wanted) {
    if (unconfirmed_.insert(id).second) added.insert(id);
  }
  WithholdLeases();
  json expiries = json::object();
  for (const auto& [id, expiry] : wanted) expiries[id] = expiry.count();
  const json value{{"epoch", owner_.epoch()}, {"expire_ms", std::move(expiries)}};
  store_transaction transaction;
  transaction.conditions = {{kOwnershipTable, kEpochKey, owner_.epoch_version()},
                            {kWorkersTable, kSilentWorkersKey, version_}};
  transaction.changes = {{kWorkersTable, kSilentWorkersKey, value.dump()}};
  const transaction_result result = co_await store_.Apply(std::move(transaction), kReplyTimeout);
  if (stopped_) co_return;
  if (result.outcome == transaction_outcome::kDone) {
    version_ = result.version;
    stored_ = std::move(wanted);
    unconfirmed_.clear();
    is_row_unknown_ = false;
    WithholdLeases();
    co_return;
  }
  is_row_unknown_ = true;
  if (result.outcome != transaction_outcome::kUnknown) {
    for (const std::string& id : added) unconfirmed_.erase(id);
    WithholdLeases();
  }
  log_.Write("scheduler", "silent workers not stored",
             {{"workers", std::to_string(state_.LeasesOfSilentWorkers(BootNow()).size())},
              {"outcome", result.outcome == transaction_outcome::kUnknown ? "unknown" : "not_done"}});
  for (const stored_row& row : result.current) {
    if (row.key == kSilentWorkersKey) version_ = row.version;
  }
  co_await transport::Sleep(kRetryPause);
}

void silence_record::WithholdLeases() {
  std::set<std::string> workers = unconfirmed_;
  for (const auto& [id, expiry] : stored_) workers.insert(id);
  state_.WithholdLeases(std::move(workers));
}

}  // namespace hickorystall::coordination::pool
