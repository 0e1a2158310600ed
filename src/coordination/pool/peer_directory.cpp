#include "coordination/pool/peer_directory.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "coordination/pool/pool_tables.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::coordination::pool {

using nlohmann::json;
using std::chrono::milliseconds;
using transport::BootNow;

namespace {

constexpr milliseconds kReplyTimeout{1200};
// VMs are added and removed only a few times a day.
constexpr milliseconds kFeedWait{10'000};
constexpr milliseconds kRetryPause{500};
// Time for which a peer that failed a call is tried last.
constexpr milliseconds kAvoidTime{5000};
// A VM has clearly more CPU than this one if this share of it is still more. Smaller differences do not
// justify a change of owner.
constexpr double kClearlyStronger = 0.7;

}  // namespace

peer_directory::peer_directory(pool_store& store, event_log& log, vm_info self)
    : store_(store), log_(log), self_(std::move(self)), next_(self_.name.size()) {}

boost::asio::awaitable<void> peer_directory::Run() {
  while (!stopped_) {
    bool replied = false;
    if (!is_registered_) {
      replied = co_await Register();
    } else {
      replied = co_await FollowOnce();
    }
    if (!replied) co_await transport::Sleep(kRetryPause);
  }
}

boost::asio::awaitable<bool> peer_directory::Register() {
  store_transaction transaction;
  transaction.changes = {
      {kVmsTable, self_.name, json{{"address", self_.address}, {"cpu", self_.cpu_share}}.dump()}};
  const transaction_result result = co_await store_.Apply(std::move(transaction), kReplyTimeout);
  is_registered_ = result.outcome == transaction_outcome::kDone;
  co_return is_registered_;
}

boost::asio::awaitable<bool> peer_directory::FollowOnce() {
  rows_result result;
  if (is_loaded_) {
    result = co_await store_.Follow(kVmsTable, position_, kFeedWait, kReplyTimeout);
  } else {
    result = co_await store_.ReadRange(kVmsTable, kPoolPartition, "", "", kReplyTimeout);
  }
  if (absl::IsOutOfRange(result.status)) is_loaded_ = false;
  if (!result.status.ok()) co_return false;
  if (!is_loaded_) peers_.clear();
  for (const stored_row& row : result.rows) ApplyRow(row);
  position_ = result.version;
  is_loaded_ = true;
  co_return true;
}

void peer_directory::ApplyRow(const stored_row& row) {
  if (row.key == self_.name) return;
  peers_.erase(row.key);
  if (row.removed) return;
  const json value = json::parse(row.value, nullptr, false);
  if (!value.is_object()) {
    // Earlier versions stored only the address.
    peers_[row.key].info = {row.key, row.value, 0};
    return;
  }
  const auto address = value.find("address");
  const auto cpu = value.find("cpu");
  if (address == value.end() || !address->is_string()) {
    log_.Write("peers", "unreadable row", {{"peer", row.key}, {"value", row.value}});
    return;
  }
  const double cpu_share = cpu != value.end() && cpu->is_number() ? cpu->get<double>() : 0;
  peers_[row.key].info = {row.key, address->get<std::string>(), cpu_share};
}

boost::asio::awaitable<void> peer_directory::Leave() {
  stopped_ = true;
  store_transaction transaction;
  transaction.changes = {{kVmsTable, self_.name, std::nullopt}};
  const transaction_result result = co_await store_.Apply(std::move(transaction), kReplyTimeout);
  if (result.outcome != transaction_outcome::kDone) {
    // The other VMs then notice it when a call fails.
    log_.Write("peers", "row not removed", {});
  }
}

std::vector<std::string> peer_directory::Candidates() {
  const state::pool::boot_time now = BootNow();
  std::vector<const peer*> peers;
  for (const auto& [vm, peer] : peers_) peers.push_back(&peer);
  if (peers.empty()) return {};
  std::rotate(peers.begin(), peers.begin() + static_cast<std::ptrdiff_t>(next_++ % peers.size()),
              peers.end());
  std::stable_partition(peers.begin(), peers.end(),
                        [now](const peer* candidate) { return now >= candidate->avoided_until; });
  std::vector<std::string> addresses;
  addresses.reserve(peers.size());
  for (const peer* candidate : peers) addresses.push_back(candidate->info.address);
  return addresses;
}

std::vector<peer_directory::vm_info> peer_directory::StrongerVms() const {
  std::vector<vm_info> stronger;
  for (const auto& [vm, peer] : peers_) {
    if (peer.info.cpu_share * kClearlyStronger > self_.cpu_share) stronger.push_back(peer.info);
  }
  std::stable_sort(stronger.begin(), stronger.end(), [](const vm_info& left, const vm_info& right) {
    return left.cpu_share > right.cpu_share;
  });
  return stronger;
}

void peer_directory::HandleOutcome(const std::string& address, bool decided) {
  for (auto& [vm, peer] : peers_) {
    if (peer.info.address == address) {
      peer.avoided_until = decided ? state::pool::boot_time{} : BootNow() + kAvoidTime;
    }
  }
}

}  // namespace hickorystall::coordination::pool
