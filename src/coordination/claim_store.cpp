#include "coordination/claim_store.h"

#include <absl/strings/escaping.h>
#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <thread>

#include "protocol/token_hash.h"
#include "transport/async_event.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::array<std::string_view, 5> kStateNames{"absent", "released", "claimed", "done", "unresolved"};

// Time limit for confirming a write whose reply was lost, before the caller is refused.
constexpr milliseconds kConfirmTimeout{1500};
constexpr milliseconds kInitialWriteDelay{100};
constexpr milliseconds kMaxWriteDelay{1000};

bool IsFinal(claim_state state) { return state == claim_state::kDone || state == claim_state::kUnresolved; }

}  // namespace

std::string EncodeClaim(const claim_record& record) {
  json value = {{"state", std::string(kStateNames[static_cast<std::size_t>(record.state)])},
                {"writer", record.writer},
                {"digest", record.digest},
                {"target", record.target},
                {"address", record.address},
                {"execution", record.execution},
                {"settle_limit_ms", record.settle_limit.count()}};
  if (record.state == claim_state::kDone) {
    value["status"] = record.status;
    value["content_type"] = absl::Base64Escape(record.content_type);
    if (record.object.empty()) value["body"] = absl::Base64Escape(record.body);
    if (!record.object.empty()) value["object"] = record.object;
  }
  return value.dump();
}

absl::StatusOr<claim_record> DecodeClaim(std::string_view text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object()) return absl::DataLossError("row is not a claim");
  claim_record record;
  try {
    const auto name = value.at("state").get<std::string>();
    const auto found = std::find(kStateNames.begin(), kStateNames.end(), name);
    if (found == kStateNames.end()) return absl::DataLossError("claim: unknown state");
    record.state = static_cast<claim_state>(found - kStateNames.begin());
    record.writer = value.at("writer");
    record.digest = value.at("digest");
    record.target = value.at("target");
    record.address = value.at("address");
    record.execution = value.at("execution");
    record.settle_limit = milliseconds(value.at("settle_limit_ms").get<std::int64_t>());
    record.status = value.value("status", 0);
    record.object = value.value("object", "");
    const bool decoded = absl::Base64Unescape(value.value("body", ""), &record.body) &&
                         absl::Base64Unescape(value.value("content_type", ""), &record.content_type);
    if (!decoded) return absl::DataLossError("claim: body is not base64");
  } catch (const json::exception& error) {
    return absl::DataLossError(std::string("claim: ") + error.what());
  }
  return record;
}

claim_store::claim_store(protocol::platform_client& platform, transport::event_loop_pool& event_loops)
    : platform_(platform), event_loops_(event_loops) {}

asio::awaitable<absl::StatusOr<claim_record>> claim_store::ReadRow(std::string key) {
  const absl::StatusOr<protocol::table_row> row = co_await platform_.Read(key);
  if (!row.ok()) co_return row.status();
  if (row->version == 0) co_return claim_record{};
  absl::StatusOr<claim_record> record = DecodeClaim(row->value);
  if (record.ok()) record->version = row->version;
  co_return record;
}

std::optional<claim_record> claim_store::PendingOutcome(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto found = pending_.find(key);
  const bool known = found != pending_.end() && found->second->state == claim_state::kDone;
  return known ? std::optional<claim_record>(*found->second) : std::nullopt;
}

asio::awaitable<absl::StatusOr<claim_record>> claim_store::Read(std::string key) {
  if (std::optional<claim_record> pending = PendingOutcome(key)) co_return *std::move(pending);
  absl::StatusOr<claim_record> record = co_await ReadRow(std::move(key));
  if (!record.ok() || record->object.empty()) co_return record;
  absl::StatusOr<std::string> body = co_await platform_.GetObject(record->object);
  if (!body.ok()) co_return absl::UnavailableError(std::string(body.status().message()));
  record->body = std::move(*body);
  co_return record;
}

asio::awaitable<absl::StatusOr<std::int64_t>> claim_store::Write(std::string key, claim_record record) {
  record.writer = protocol::RandomId();
  const protocol::table_transaction transaction{{{key, record.version}}, {{key, EncodeClaim(record)}}, {}};
  const absl::StatusOr<std::int64_t> commit = co_await platform_.Transact(transaction);
  // The effect is certain, so the caller need not wait for the store.
  if (commit.ok() || absl::IsUnavailable(commit.status())) co_return commit;
  if (absl::IsUnknown(commit.status())) {
    const absl::Status confirmed =
        co_await protocol::TransactAndConfirm(platform_, transaction, key, record.writer, kConfirmTimeout);
    if (!confirmed.ok() && !absl::IsAborted(confirmed)) {
      co_return absl::UnknownError(std::string(confirmed.message()));
    }
  }
  // The conflict may be with this writer's own transaction, whose reply was lost.
  const absl::StatusOr<claim_record> row = co_await ReadRow(key);
  if (!row.ok()) co_return absl::UnknownError(std::string(row.status().message()));
  if (row->writer == record.writer) co_return row->version;
  co_return absl::AbortedError("another writer claimed the key");
}

void claim_store::Complete(const std::string& key, claim_record record) {
  const auto shared = std::make_shared<claim_record>(std::move(record));
  {
    const std::lock_guard lock(mutex_);
    pending_[key] = shared;
  }
  ++pending_count_;
  asio::co_spawn(
      event_loops_.next(), [this, key, shared] { return WriteUntilStored(key, shared); }, asio::detached);
}

void claim_store::Release(const std::string& key, claim_record record) {
  record.state = claim_state::kReleased;
  Complete(key, std::move(record));
}

asio::awaitable<void> claim_store::WriteUntilStored(std::string key, std::shared_ptr<claim_record> record) {
  claim_record attempt = *record;
  bool stored = false;
  for (milliseconds delay = kInitialWriteDelay; !stored && !stopping_;
       delay = std::min(delay * 2, kMaxWriteDelay)) {
    stored = co_await StoreOnce(key, attempt);
    if (!stored) co_await transport::Sleep(delay);
  }
  if (!stored) LOG(WARNING) << "gateway: outcome of " << key << " was left for other gateways to settle";
  {
    const std::lock_guard lock(mutex_);
    const auto found = pending_.find(key);
    if (found != pending_.end() && found->second == record) pending_.erase(found);
  }
  --pending_count_;
}

// Returns true when the outcome is in the table or must not be written.
asio::awaitable<bool> claim_store::StoreOnce(const std::string& key, claim_record& record) {
  if (record.state == claim_state::kDone && record.body.size() > kMaxBodyInRow) {
    // Named after the execution, so that a late write of another gateway has the same bytes.
    record.object = "claim/" + record.execution;
    const absl::Status stored = co_await platform_.PutObject(record.object, record.body);
    if (!stored.ok()) co_return false;
  }
  const absl::StatusOr<std::int64_t> written = co_await Write(key, record);
  if (written.ok()) co_return true;
  if (!absl::IsAborted(written.status())) co_return false;
  const absl::StatusOr<claim_record> row = co_await ReadRow(key);
  if (!row.ok()) co_return false;
  // A known response replaces an unresolved claim, but nothing replaces a response or the claim of another
  // execution.
  const bool same_claim = row->execution == record.execution || row->state == claim_state::kAbsent;
  const bool may_write = same_claim && row->state != claim_state::kDone &&
                         (!IsFinal(row->state) || record.state == claim_state::kDone);
  if (!may_write) co_return true;
  record.version = row->version;
  co_return false;
}

void claim_store::Finish(milliseconds limit) {
  const clock::time_point end = clock::now() + limit;
  while (pending_count_ > 0 && clock::now() < end) std::this_thread::sleep_for(milliseconds(10));
  stopping_ = true;
}

json claim_store::Dump() const {
  const std::lock_guard lock(mutex_);
  json result = json::object();
  for (const auto& [key, record] : pending_) {
    result[key] = {{"to_write", std::string(kStateNames[static_cast<std::size_t>(record->state)])},
                   {"target", record->target},
                   {"execution", record->execution}};
  }
  return result;
}

}  // namespace hickorystall::coordination
