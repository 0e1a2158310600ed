#include "coordination/job_submission.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "protocol/job_codec.h"
#include "protocol/token_hash.h"
#include "state/scheduling/decision.h"
#include "state/text.h"
#include "transport/http_message.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using nlohmann::json;
using state::error_kind;
using state::job_record;
using std::chrono::milliseconds;

namespace {

// Time for which a write whose reply was lost is confirmed before the caller is told that it is unknown.
constexpr milliseconds kConfirmTimeout{1500};
// Interval at which a watched row is read; it grows while the watch lasts, because overnight callers wait
// long.
constexpr milliseconds kFirstPollInterval{100};
constexpr milliseconds kLongestPollInterval{1000};
// Cancels in one transaction.
constexpr std::size_t kCancelBatch = 200;
// Jobs above which one scan is cheaper than reading each row.
constexpr std::size_t kReadEach = 10;
// Age at which the number of jobs of a workspace is counted again. The quota may be exceeded by what is
// submitted meanwhile.
constexpr milliseconds kCountAge{5000};

job_result Refuse(error_kind kind, std::string message) {
  job_result result;
  result.refusal = kind;
  result.message = std::move(message);
  return result;
}

job_result RefuseWrite(const absl::Status& status) {
  const error_kind kind =
      absl::IsUnknown(status) ? error_kind::kOutcomeUnknown : error_kind::kStoreUnavailable;
  return Refuse(kind, std::string(status.message()));
}

job_result Document(int status, json body) {
  job_result result;
  result.status = status;
  result.body = std::move(body);
  return result;
}

// Ids are made by this program; anything else must not become part of a row's key.
bool IsJobId(std::string_view text) {
  return !text.empty() && text.size() <= 64 &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isalnum(c) != 0; });
}

// Transacts once, and confirms the effect when the reply was lost. kAborted also stands for a conflict with
// this writer's own transaction.
asio::awaitable<absl::Status> TransactOnce(protocol::table_client& table,
                                           protocol::table_transaction transaction, std::string marker_key,
                                           std::string token) {
  const absl::StatusOr<std::int64_t> commit = co_await table.Transact(transaction);
  if (!absl::IsUnknown(commit.status())) co_return commit.status();
  co_return co_await protocol::TransactAndConfirm(table, std::move(transaction), std::move(marker_key),
                                                  std::move(token), kConfirmTimeout);
}

}  // namespace

job_submission::job_submission(protocol::table_client& table, transport::event_loop_pool& loops,
                               std::string pool_name, std::function<void(const std::string& pool)> send_hint)
    : table_(table), loops_(loops), pool_name_(std::move(pool_name)), send_hint_(std::move(send_hint)) {}

asio::awaitable<job_result> job_submission::Submit(config_ptr config, std::string workspace, std::string body,
                                                   std::string idempotency_key) {
  const absl::StatusOr<state::job_spec> spec = protocol::ParseJobSpec(body);
  if (!spec.ok()) co_return Refuse(error_kind::kBadRequest, std::string(spec.status().message()));
  const state::work_kind* kind = config->config.FindKind(spec->kind);
  if (kind == nullptr || kind->kind != state::work_class::kJob) {
    co_return Refuse(error_kind::kUnknownKind, "no kind of job is called " + spec->kind);
  }
  const state::workspace_config* owner = config->config.FindWorkspace(workspace);
  if (owner == nullptr) co_return Refuse(error_kind::kUnauthorized, "unknown workspace");
  const std::string impossible = state::ExplainImpossible(config->config, *owner, *spec);
  if (!impossible.empty()) co_return Refuse(error_kind::kJobImpossible, impossible);
  if (co_await IsOverQuota(config->config, workspace)) {
    co_return Refuse(error_kind::kQuotaExceeded, "the workspace has too many unfinished jobs");
  }
  job_record record;
  record.id = "j" + protocol::RandomId();
  record.workspace = workspace;
  record.spec = *spec;
  record.submitted_at = std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
  std::string claim_key;
  if (!idempotency_key.empty()) {
    claim_key =
        protocol::ClaimKey(transport::PercentEncode(workspace), transport::PercentEncode(idempotency_key));
  }
  co_return co_await Store(record, std::move(claim_key), protocol::Sha256Hex("job\n" + body));
}

asio::awaitable<job_result> job_submission::Store(const job_record& record, std::string claim_key,
                                                  std::string digest) {
  const std::string token = protocol::RandomId();
  const std::string job_key = protocol::JobKey(pool_name_, record.id);
  // The owner takes the job from the inbox row; the job row lets callers see it before that.
  const std::string row = protocol::EncodeJobRecord(record, token);
  protocol::table_transaction transaction{
      {{job_key, 0}}, {{job_key, row}, {protocol::InboxSubmitKey(pool_name_, record.id), row}}, {}};
  // The job row may change before the effect of a lost reply is confirmed; the claim row never does.
  std::string marker_key = job_key;
  const json accepted = {{"job", record.id}};
  if (!claim_key.empty()) {
    claim_record claim;
    claim.state = claim_state::kDone;
    claim.writer = token;
    claim.digest = digest;
    claim.execution = record.id;
    claim.status = 202;
    claim.content_type = "application/json";
    claim.body = accepted.dump();
    transaction.conditions.push_back({claim_key, 0});
    transaction.puts.push_back({claim_key, EncodeClaim(claim)});
    marker_key = claim_key;
  }
  const absl::Status status = co_await TransactOnce(table_, std::move(transaction), marker_key, token);
  if (status.ok()) {
    send_hint_(pool_name_);
    co_return Document(202, accepted);
  }
  if (!absl::IsAborted(status)) co_return RefuseWrite(status);
  if (!claim_key.empty()) co_return co_await AnswerExisting(std::move(claim_key), std::move(digest));
  // Nobody else uses this id, so the conflict is with this writer's own transaction, whose reply was lost.
  co_return Document(202, accepted);
}

asio::awaitable<job_result> job_submission::AnswerExisting(std::string claim_key, std::string digest) {
  const absl::StatusOr<protocol::table_row> row = co_await table_.Read(std::move(claim_key));
  if (!row.ok()) {
    co_return Refuse(error_kind::kOutcomeUnknown, "the key is in use and its outcome cannot be read now");
  }
  const absl::StatusOr<claim_record> claim = DecodeClaim(row->value);
  if (!claim.ok() || claim->digest != digest || claim->state != claim_state::kDone) {
    co_return Refuse(error_kind::kIdempotencyKeyReused, "the key was used for another request");
  }
  co_return Document(claim->status, json::parse(claim->body, nullptr, false));
}

asio::awaitable<bool> job_submission::IsOverQuota(const state::cluster_config& config,
                                                  std::string workspace) {
  {
    const std::lock_guard lock(mutex_);
    if (counted_at_ != clock::time_point() && clock::now() - counted_at_ < kCountAge) {
      co_return ++counts_[workspace] > config.limits.max_jobs_per_workspace;
    }
    // Set before the scan, so that the submits of this moment do not all scan.
    counted_at_ = clock::now();
  }
  const auto jobs = co_await ScanJobs("");
  const std::lock_guard lock(mutex_);
  if (jobs.ok()) {
    counts_.clear();
    for (const auto& [id, record] : *jobs) {
      if (!state::IsFinal(record.state)) ++counts_[record.workspace];
    }
  }
  co_return ++counts_[workspace] > config.limits.max_jobs_per_workspace;
}

asio::awaitable<job_submission::read_result> job_submission::ReadJob(std::string workspace,
                                                                     std::string job_id) {
  if (!IsJobId(job_id)) co_return std::nullopt;
  const absl::StatusOr<protocol::table_row> row = co_await table_.Read(protocol::JobKey(pool_name_, job_id));
  if (!row.ok()) co_return row.status();
  if (row->version == 0) co_return std::nullopt;
  absl::StatusOr<job_record> record = protocol::DecodeJobRecord(row->value);
  if (!record.ok()) co_return record.status();
  if (record->workspace != workspace) co_return std::nullopt;
  co_return std::optional<job_record>(std::move(*record));
}

// Returns the jobs of `workspace` by id, or all when it is empty.
asio::awaitable<absl::StatusOr<std::map<std::string, job_record>>> job_submission::ScanJobs(
    std::string workspace) {
  const absl::StatusOr<std::vector<protocol::table_row>> rows =
      co_await table_.Scan(protocol::JobPrefix(pool_name_));
  if (!rows.ok()) co_return rows.status();
  std::map<std::string, job_record> jobs;
  for (const protocol::table_row& row : *rows) {
    absl::StatusOr<job_record> record = protocol::DecodeJobRecord(row.value);
    if (!record.ok() || (!workspace.empty() && record->workspace != workspace)) continue;
    const std::string id = record->id;
    jobs.emplace(id, std::move(*record));
  }
  co_return jobs;
}

asio::awaitable<job_result> job_submission::Get(std::string workspace, std::string job_id,
                                                milliseconds wait) {
  read_result record = co_await ReadJob(workspace, job_id);
  if (!record.ok()) co_return Refuse(error_kind::kStoreUnavailable, std::string(record.status().message()));
  if (!record->has_value()) co_return Refuse(error_kind::kNotFound, "no such job");
  if (wait <= milliseconds(0) || state::IsFinal((*record)->state)) {
    co_return Document(200, protocol::JobToJson(**record));
  }
  transport::async_event finished(co_await asio::this_coro::executor);
  const std::shared_ptr<watch> watched = JoinWatch(job_id, finished);
  co_await finished.Wait(std::min(wait, kMaxWait));
  std::optional<job_record> latest;
  {
    const std::lock_guard lock(mutex_);
    latest = watched->last;
  }
  LeaveWatch(job_id, watched);
  co_return Document(200, protocol::JobToJson(latest.has_value() ? *latest : **record));
}

std::shared_ptr<job_submission::watch> job_submission::JoinWatch(const std::string& job_id,
                                                                 const transport::async_event& event) {
  std::shared_ptr<watch> watched;
  {
    const std::lock_guard lock(mutex_);
    std::shared_ptr<watch>& entry = watches_[job_id];
    const bool is_new = entry == nullptr;
    if (is_new) entry = std::make_shared<watch>();
    ++entry->waiters;
    entry->events.push_back(event);
    watched = entry;
    if (!is_new) return watched;
  }
  asio::co_spawn(
      loops_.next(), [this, job_id, watched] { return PollWatch(job_id, watched); }, asio::detached);
  return watched;
}

void job_submission::LeaveWatch(const std::string& job_id, const std::shared_ptr<watch>& watched) {
  const std::lock_guard lock(mutex_);
  if (--watched->waiters > 0) return;
  const auto found = watches_.find(job_id);
  if (found != watches_.end() && found->second == watched) watches_.erase(found);
}

asio::awaitable<void> job_submission::PollWatch(std::string job_id, std::shared_ptr<watch> watched) {
  milliseconds interval = kFirstPollInterval;
  for (bool ended = false; !ended;) {
    co_await transport::Sleep(interval);
    interval = std::min(interval + interval / 4, kLongestPollInterval);
    const absl::StatusOr<protocol::table_row> row =
        co_await table_.Read(protocol::JobKey(pool_name_, job_id));
    const absl::StatusOr<job_record> record = row.ok() ? protocol::DecodeJobRecord(row->value) : row.status();
    const std::lock_guard lock(mutex_);
    if (record.ok()) watched->last = *record;
    const bool is_final = record.ok() && state::IsFinal(record->state);
    ended = is_final || stopping_ || watched->waiters == 0;
    if (!ended) continue;
    for (transport::async_event& event : watched->events) event.Set();
    // Callers that come later start a new watch.
    const auto found = watches_.find(job_id);
    if (found != watches_.end() && found->second == watched) watches_.erase(found);
  }
}

asio::awaitable<job_result> job_submission::List(std::string workspace) {
  const auto jobs = co_await ScanJobs(workspace);
  if (!jobs.ok()) co_return Refuse(error_kind::kStoreUnavailable, std::string(jobs.status().message()));
  json list = json::array();
  for (const auto& [id, record] : *jobs) list.push_back(protocol::JobToJson(record));
  co_return Document(200, {{"jobs", list}});
}

asio::awaitable<job_result> job_submission::Cancel(std::string workspace, std::vector<std::string> job_ids) {
  std::map<std::string, job_record> jobs;
  if (job_ids.size() > kReadEach) {
    auto scanned = co_await ScanJobs(workspace);
    if (!scanned.ok())
      co_return Refuse(error_kind::kStoreUnavailable, std::string(scanned.status().message()));
    jobs = std::move(*scanned);
  } else {
    for (const std::string& id : job_ids) {
      read_result record = co_await ReadJob(workspace, id);
      if (!record.ok())
        co_return Refuse(error_kind::kStoreUnavailable, std::string(record.status().message()));
      if (record->has_value()) jobs.emplace(id, std::move(**record));
    }
  }
  json answers = json::array();
  std::vector<std::string> to_cancel;
  for (const std::string& id : job_ids) {
    const auto found = jobs.find(id);
    if (found == jobs.end()) {
      answers.push_back({{"job", id}, {"result", "not_found"}});
    } else if (state::IsFinal(found->second.state)) {
      const std::string state(state::JobStateName(found->second.state));
      answers.push_back({{"job", id}, {"result", "already_final"}, {"state", state}});
    } else {
      to_cancel.push_back(id);
      answers.push_back({{"job", id}, {"result", "accepted"}});
    }
  }
  const absl::Status status = co_await PutCancels(std::move(to_cancel));
  if (!status.ok()) co_return RefuseWrite(status);
  co_return Document(202, {{"jobs", answers}});
}

// The rows are the same whoever writes them, so repeating the write is harmless.
asio::awaitable<absl::Status> job_submission::PutCancels(std::vector<std::string> job_ids) {
  for (std::size_t begin = 0; begin < job_ids.size(); begin += kCancelBatch) {
    const std::string token = protocol::RandomId();
    protocol::table_transaction transaction;
    const std::size_t end = std::min(job_ids.size(), begin + kCancelBatch);
    for (std::size_t i = begin; i < end; ++i) {
      transaction.puts.push_back({protocol::InboxCancelKey(pool_name_, job_ids[i]),
                                  json{{"job", job_ids[i]}, {"writer", token}}.dump()});
    }
    const std::string marker_key = transaction.puts.front().key;
    const absl::Status status = co_await TransactOnce(table_, std::move(transaction), marker_key, token);
    if (!status.ok()) co_return status;
    send_hint_(pool_name_);
  }
  co_return absl::OkStatus();
}

json job_submission::Dump() const {
  const std::lock_guard lock(mutex_);
  json result = json::object();
  for (const auto& [id, watched] : watches_) result[id] = watched->waiters;
  return result;
}

}  // namespace hickorystall::coordination
