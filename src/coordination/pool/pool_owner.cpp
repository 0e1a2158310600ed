#include "coordination/pool/pool_owner.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <iterator>
#include <nlohmann/json.hpp>

#include "coordination/pool/pool_codec.h"
#include "coordination/pool/pool_tables.h"
#include "state/metrics/request_metrics.h"
#include "state/pool/pool_plan.h"
#include "transport/async_event.h"

namespace hickorystall::coordination::pool {

namespace asio = boost::asio;
using nlohmann::json;
using namespace state::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using transport::BootNow;

namespace {

constexpr milliseconds kReplyTimeout{1000};
// Maximum age that is assumed for a job that arrives through the change feed: a larger difference between its
// time of submission and this VM's clock is an error of the clocks.
constexpr milliseconds kMaxSubmissionAge{5000};
constexpr milliseconds kRetryPause{200};
// Maximum time between two planning passes, which check due times, leases and stalled tasks.
constexpr milliseconds kTick{200};
// Time for which changes of registrations are batched: hundreds of workers register one by one, and no change
// is needed sooner.
constexpr milliseconds kRegistryPause{100};
// Pause after a planning pass as a multiple of its duration, which keeps planning below a fifth of the
// owner's processor time, and its minimum. The latency objective of urgent work is 250 ms.
constexpr int kPlanPauseFactor = 4;
constexpr milliseconds kMinPlanPause{10};
// Number of rows in one reply from which on the feed counts as behind: half of the store's limit of 500.
constexpr std::size_t kBehindRows = 250;
// Interval at which the list of workers is compared with the stored one, in addition to each change of the
// registry.
constexpr milliseconds kRecordInterval{1000};
// Time for which final jobs are kept: the required 120 s, plus the time that a client may take to query them.
constexpr milliseconds kFinalJobRetention{150'000};
// Interval of the projections for new jobs: at least one for each renewal of the lease, which carries them.
constexpr milliseconds kProjectionInterval{200};
// Interval at which waiting jobs are looked for, and the maximum number of records about them each time.
constexpr milliseconds kWaitReportInterval{1000};
constexpr std::size_t kMaxWaitRecords = 5;

// Returns the continuations of the progress of job `id`, in order.
std::string JoinContinuations(const std::string& id, const std::map<std::string, const stored_row*>& rows) {
  std::string joined;
  for (std::size_t i = 0;; ++i) {
    const auto row = rows.find(ProgressRowKey(id, i));
    if (row == rows.end()) return joined;
    joined += row->second->value;
  }
}

}  // namespace

pool_owner::pool_owner(pool_owner_parts parts, pool_settings settings, std::int64_t epoch,
                       const asio::any_io_executor& executor)
    : parts_(std::move(parts)),
      executor_(executor),
      state_(settings, epoch),
      writer_(*parts_.store, *parts_.log, *parts_.owner, state_, executor),
      silence_(*parts_.store, *parts_.log, *parts_.owner, state_, executor),
      learned_(*parts_.store, *parts_.log, *parts_.owner, state_, executor),
      tombstones_(*parts_.store, *parts_.log, *parts_.owner, executor),
      wake_(executor),
      registry_changed_(executor),
      jobs_feed_(*parts_.store, *parts_.log, {kJobsTable, {kJobPartitions.begin(), kJobPartitions.end()}}),
      registry_feed_(*parts_.store, *parts_.log, {parts_.registry.table, {kPoolPartition}}),
      owned_since_(BootNow()) {}

void pool_owner::Spawn(asio::awaitable<void> work) {
  asio::co_spawn(
      executor_,
      [self = shared_from_this(), work = std::move(work)]() mutable -> asio::awaitable<void> {
        co_await std::move(work);
      },
      [self = shared_from_this()](const std::exception_ptr& failure) {
        if (failure) self->HandleLoopFailure(failure);
      });
}

// An owner without one of its loops would hold the pool without serving it, so the ownership is given up.
void pool_owner::HandleLoopFailure(const std::exception_ptr& failure) {
  std::string reason = "unknown";
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& error) {
    reason = error.what();
  } catch (...) {
  }
  parts_.log->Write("scheduler", "loop failed", {{"reason", reason}});
  if (stopped_) return;
  Stop();
  parts_.owner->Lose("a background loop failed: " + reason);
}

void pool_owner::Start() { Spawn(Run()); }

void pool_owner::Stop() {
  stopped_ = true;
  writer_.Stop();
  silence_.Stop();
  learned_.Stop();
  tombstones_.Stop();
  wake_.Notify();
  registry_changed_.Notify();
}

asio::awaitable<void> pool_owner::Run() {
  if (!AreEvacuationsCurrent()) Spawn(ConfirmEvacuations());
  while (!stopped_) {
    const bool loaded = co_await Load();
    if (loaded) break;
    co_await transport::Sleep(kRetryPause);
  }
  if (stopped_) co_return;
  Spawn(FollowJobs());
  Spawn(FollowRegistry());
  Spawn(RecordWorkers());
  Spawn(silence_.Run());
  Spawn(learned_.Run());
  Spawn(tombstones_.Run());
  writer_.Start([this](asio::awaitable<void> loop) { Spawn(std::move(loop)); });
  Spawn(PlanLoop());
}

asio::awaitable<bool> pool_owner::Load() {
  const boot_time begin = BootNow();
  const bool has_jobs = co_await LoadJobs();
  if (!has_jobs) co_return false;
  const bool has_workers = co_await LoadWorkers();
  if (!has_workers) co_return false;
  co_await learned_.Load();
  state_.SetConfig(parts_.config->config());
  parts_.log->Write("scheduler", "pool loaded",
                    {{"epoch", std::to_string(state_.epoch())},
                     {"jobs", std::to_string(state_.jobs().size())},
                     {"workers", std::to_string(state_.workers().size())},
                     {"took_ms", std::to_string((BootNow() - begin).count())}});
  co_return true;
}

asio::awaitable<bool> pool_owner::LoadJobs() {
  const boot_time read_at = BootNow();
  std::optional<std::int64_t> position;
  for (const std::string_view partition : kJobPartitions) {
    // Progress is read first: a job that is submitted in between is then found in the jobs table, without
    // progress.
    const rows_result progress =
        co_await parts_.store->ReadRange(kProgressTable, std::string(partition), "", "", kReplyTimeout);
    if (!progress.status.ok()) co_return false;
    const rows_result jobs =
        co_await parts_.store->ReadRange(kJobsTable, std::string(partition), "", "", kReplyTimeout);
    if (!jobs.status.ok()) co_return false;
    rows_result continuations;
    if (std::any_of(progress.rows.begin(), progress.rows.end(),
                    [](const stored_row& row) { return IsContinued(row.value); })) {
      continuations =
          co_await parts_.store->ReadRange(kProgressRowsTable, std::string(partition), "", "", kReplyTimeout);
      if (!continuations.status.ok()) co_return false;
    }
    ApplyStoredJobs(progress, continuations, jobs);
    // The feed continues from the first read, so that it returns every change made after any of the reads.
    if (!position) position = jobs.version;
  }
  jobs_feed_.Begin(*position, read_at);
  co_return true;
}

void pool_owner::ApplyStoredJobs(const rows_result& progress, const rows_result& continuations,
                                 const rows_result& jobs) {
  std::map<std::string, const stored_row*> progress_rows;
  for (const stored_row& row : progress.rows) progress_rows[row.key] = &row;
  std::map<std::string, const stored_row*> continuation_rows;
  for (const stored_row& row : continuations.rows) continuation_rows[row.key] = &row;
  const boot_time now = BootNow();
  const unix_time wall_now = parts_.wall_clock->At(now);
  std::vector<std::string> cancelled;
  for (const stored_row& row : jobs.rows) {
    if (row.key.ends_with(kCancelSuffix)) {
      cancelled.push_back(row.key.substr(0, row.key.size() - (sizeof(kCancelSuffix) - 1)));
      continue;
    }
    absl::StatusOr<job_submission> submission = DecodeSubmission(row.key, row.value);
    job_entry job;
    absl::Status status = submission.status();
    const auto stored = progress_rows.find(row.key);
    if (status.ok()) {
      job.submission = *std::move(submission);
      job.row_version = stored == progress_rows.end() ? row.version : stored->second->version;
      job.accepted_at = now - std::max(milliseconds(0), wall_now - job.submission.accepted_at);
      if (stored != progress_rows.end()) {
        const std::string& text = stored->second->value;
        status = RestoreProgress(text, JoinContinuations(row.key, continuation_rows), job);
      }
    }
    if (!status.ok()) {
      // An accepted job is never dropped: its rows are kept for an operator.
      parts_.log->Write("scheduler", "unreadable job",
                        {{"id", row.key}, {"reason", std::string(status.message())}});
      continue;
    }
    state_.AddJob(std::move(job), now);
  }
  for (const std::string& id : cancelled) state_.CancelJob(id, now);
}

asio::awaitable<bool> pool_owner::LoadWorkers() {
  const rows_result recorded =
      co_await parts_.store->ReadRange(kWorkersTable, kPoolPartition, "", "", kReplyTimeout);
  if (!recorded.status.ok()) co_return false;
  const boot_time read_at = BootNow();
  const rows_result listed =
      co_await parts_.store->ReadRange(parts_.registry.table, kPoolPartition, "", "", kReplyTimeout);
  if (!listed.status.ok()) co_return false;
  for (const stored_row& row : listed.rows) {
    ApplyGuarded("unreadable registration", row, [this, &row] { ApplyRegistryRow(row); });
  }
  registry_feed_.Begin(listed.version, read_at);
  const boot_time authority_end = parts_.owner->predecessor_authority_end();
  const boot_time bound = authority_end + MaxElapsedTime(state_.settings(), state_.settings().worker_lease);
  std::map<std::string, std::string> addresses;
  for (const stored_row& row : recorded.rows) {
    if (row.key != kWorkersKey) continue;
    workers_version_ = row.version;
    const json value = json::parse(row.value, nullptr, false);
    is_workers_row_unknown_ = !value.is_object();
    if (is_workers_row_unknown_) continue;
    for (const auto& [id, address] : value.items()) {
      if (address.is_string()) addresses[id] = address.get<std::string>();
    }
  }
  const std::map<std::string, boot_time> silent = silence_.Load(recorded.rows);
  const auto bound_of = [&silent, bound](const std::string& id) {
    const auto found = silent.find(id);
    return found == silent.end() ? bound : found->second;
  };
  for (const auto& [id, address] : addresses) state_.AddRecordedWorker(id, address, bound_of(id));
  state_.SetRecordedWorkers(std::move(addresses));
  // Workers are recorded before their first order, so the row already names these unless it was unreadable.
  for (const std::string& id : state_.UnresolvedWorkers()) {
    if (!state_.recorded_workers().contains(id)) state_.AddRecordedWorker(id, "", bound_of(id));
  }
  state_.HoldRecordedStarts(authority_end);
  state_.AwaitFirstReplies();
  co_return true;
}

void pool_owner::ApplyGuarded(std::string_view event, const stored_row& row,
                              const std::function<void()>& apply) {
  try {
    apply();
  } catch (const std::exception& failure) {
    parts_.log->Write("scheduler", event, {{"key", row.key}, {"reason", failure.what()}});
  }
}

void pool_owner::ApplyJobRow(const stored_row& row) {
  if (row.removed) return;
  const boot_time now = BootNow();
  if (row.key.ends_with(kCancelSuffix)) {
    state_.CancelJob(row.key.substr(0, row.key.size() - (sizeof(kCancelSuffix) - 1)), now);
    return;
  }
  absl::StatusOr<job_submission> submission = DecodeSubmission(row.key, row.value);
  if (!submission.ok()) {
    parts_.log->Write("scheduler", "unreadable job",
                      {{"id", row.key}, {"reason", std::string(submission.status().message())}});
    return;
  }
  job_entry job;
  job.submission = *std::move(submission);
  job.row_version = row.version;
  const milliseconds age = parts_.wall_clock->At(now) - job.submission.accepted_at;
  job.accepted_at = now - std::clamp(age, milliseconds(0), kMaxSubmissionAge);
  state_.AddJob(std::move(job), now);
}

void pool_owner::ApplyRegistryRow(const stored_row& row) {
  if (row.removed) {
    RemoveWorker(row.key);
    return;
  }
  const absl::StatusOr<worker_registration> registration = parts_.registry.decode(row);
  if (!registration.ok()) {
    parts_.log->Write("scheduler", "unreadable registration",
                      {{"worker", row.key}, {"reason", std::string(registration.status().message())}});
    return;
  }
  state_.SetRegistration(*registration, BootNow());
}

void pool_owner::RemoveWorker(const std::string& id) {
  const auto found = state_.workers().find(id);
  if (found != state_.workers().end()) parts_.orders->CloseConnections(found->second.registration.address);
  state_.RemoveRegistration(id);
}

asio::awaitable<void> pool_owner::FollowJobs() {
  while (!stopped_) {
    const feed_update update = co_await jobs_feed_.Next();
    if (stopped_) co_return;
    if (!update.ok) continue;
    // The key of a cancellation sorts after the key of its job.
    for (const stored_row& row : update.rows) {
      ApplyGuarded("unreadable job", row, [this, &row] { ApplyJobRow(row); });
    }
    if (!update.rows.empty() || is_outdated_) Wake();
  }
}

asio::awaitable<void> pool_owner::FollowRegistry() {
  while (!stopped_) {
    const feed_update update = co_await registry_feed_.Next();
    if (stopped_) co_return;
    if (!update.ok) continue;
    std::set<std::string_view> present;
    for (const stored_row& row : update.rows) {
      present.insert(row.key);
      ApplyGuarded("unreadable registration", row, [this, &row] { ApplyRegistryRow(row); });
    }
    if (update.is_snapshot) RemoveUnlisted(present);
    if (is_outdated_) Wake();
    if (update.rows.empty()) continue;
    registry_changed_.Notify();
    Wake();
    // Changes are batched, unless the feed is behind: a full reply is followed at once by the next call.
    if (update.rows.size() < kBehindRows) co_await transport::Sleep(kRegistryPause);
  }
}

void pool_owner::RemoveUnlisted(const std::set<std::string_view>& present) {
  std::vector<std::string> gone;
  for (const auto& [id, worker] : state_.workers()) {
    if (worker.listed && !present.contains(id)) gone.push_back(id);
  }
  for (const std::string& id : gone) RemoveWorker(id);
}

// Stores the ids of new workers before they receive orders, so that a later owner asks each of them what it
// runs. A removed worker must not remain in the row: a later owner would wait for its last lease to expire.
asio::awaitable<void> pool_owner::RecordWorkers() {
  while (!stopped_) {
    std::map<std::string, std::string> addresses;
    for (const auto& [id, worker] : state_.workers()) addresses[id] = worker.registration.address;
    if (addresses == state_.recorded_workers() && !is_workers_row_unknown_) {
      co_await registry_changed_.Wait(kRecordInterval);
    } else {
      co_await StoreWorkers(std::move(addresses));
    }
  }
}

asio::awaitable<void> pool_owner::StoreWorkers(std::map<std::string, std::string> addresses) {
  store_transaction transaction;
  transaction.conditions = {{kOwnershipTable, kEpochKey, parts_.owner->epoch_version()},
                            {kWorkersTable, kWorkersKey, workers_version_}};
  transaction.changes = {{kWorkersTable, kWorkersKey, json(addresses).dump()}};
  // Until the write is confirmed the row holds either list, so only what both have in common is known to be
  // stored.
  std::map<std::string, std::string> common;
  std::set_intersection(state_.recorded_workers().begin(), state_.recorded_workers().end(), addresses.begin(),
                        addresses.end(), std::inserter(common, common.end()));
  state_.SetRecordedWorkers(std::move(common));
  is_workers_row_unknown_ = true;
  const transaction_result result = co_await parts_.store->Apply(std::move(transaction), kReplyTimeout);
  if (stopped_) co_return;
  if (result.outcome == transaction_outcome::kDone) {
    workers_version_ = result.version;
    is_workers_row_unknown_ = false;
    state_.SetRecordedWorkers(std::move(addresses));
    Wake();
    co_return;
  }
  for (const stored_row& row : result.current) {
    if (row.key == kWorkersKey) workers_version_ = row.version;
  }
  co_await transport::Sleep(kRetryPause);
}

asio::awaitable<void> pool_owner::PlanLoop() {
  while (!stopped_) {
    const boot_time begin = BootNow();
    PlanOnce();
    // Every reply of a worker wakes the loop. Without the pause a busy pool would be planned anew hundreds of
    // times a second, at the expense of the calls to the workers.
    const milliseconds pause = std::clamp((BootNow() - begin) * kPlanPauseFactor, kMinPlanPause, kTick);
    co_await transport::Sleep(pause);
    if (stopped_) co_return;
    co_await wake_.Wait(kTick);
  }
}

// One read of a small table, in parallel with the loading of the pool, saves up to the second that a call for
// changes waits. If it fails, the follower confirms the evacuations as soon as it reaches the store.
asio::awaitable<void> pool_owner::ConfirmEvacuations() {
  co_await parts_.config->Refresh();
  if (!stopped_) Wake();
}

bool pool_owner::AreEvacuationsCurrent() const {
  return state::pool::AreEvacuationsCurrent(parts_.config->fresh_at(), owned_since_,
                                            state_.settings().max_evacuation_age, BootNow());
}

void pool_owner::ApplyEvacuations() {
  state_.SetEvacuations(parts_.config->evacuations(), parts_.config->fresh_at(), BootNow());
}

void pool_owner::PlanOnce() {
  const boot_time now = BootNow();
  state_.SetConfig(parts_.config->config());
  ApplyEvacuations();
  state_.ExpireLeases(now, parts_.owner->confirmed_at());
  for (const std::string& id : state_.ForgetJobs(now - kFinalJobRetention)) writer_.Remove(id);
  const unix_time wall_now = parts_.wall_clock->At(now);
  state_.MakeDueOccurrences(now, wall_now);
  // A start that cannot be recorded is not sent, so no task is stopped to make room for it either.
  std::optional<pool_plan> plan;
  if (MayOrder() && IsKnowledgeFresh(now) && writer_.is_storing() && state_.HaveAllWorkersReplied()) {
    plan = PlanPool(state_, now, wall_now);
    ApplyPlan(*plan, state_, now);
    if (state_.settings().admission.refuse_overload) Project(*plan, now, wall_now);
  }
  StartSessions();
  DispatchOrders();
  LogEvents();
  LogWaits(plan ? &plan->unplaced : nullptr, now);
  writer_.Notify();
}

void pool_owner::Project(const pool_plan& plan, boot_time now, unix_time wall_now) {
  drained_.AddStarts(plan, state_, now);
  if (now - projected_at_ < kProjectionInterval) return;
  projected_at_ = now;
  projection_ = {};
  if (!plan.unplaced.empty()) projection_ = admission::ProjectAdmission(state_, drained_, now, wall_now);
  parts_.owner->SetProjection(projection_, now);
}

bool pool_owner::IsKnowledgeFresh(boot_time now) {
  const milliseconds jobs_age = now - jobs_feed_.fresh_at();
  const milliseconds registry_age = now - registry_feed_.fresh_at();
  const bool is_outdated =
      std::max(jobs_age, registry_age) > state_.settings().max_feed_age || !AreEvacuationsCurrent();
  if (is_outdated != is_outdated_) {
    is_outdated_ = is_outdated;
    log_fields fields{{"jobs_age_ms", std::to_string(jobs_age.count())},
                      {"registry_age_ms", std::to_string(registry_age.count())},
                      {"limit_ms", std::to_string(state_.settings().max_feed_age.count())}};
    if (state_.settings().max_evacuation_age > milliseconds(0)) {
      fields.emplace_back("evacuations_age_ms", std::to_string((now - parts_.config->fresh_at()).count()));
      fields.emplace_back("evacuations_limit_ms",
                          std::to_string(state_.settings().max_evacuation_age.count()));
    }
    parts_.log->Write("scheduler", is_outdated ? "starts held back" : "starts resumed", fields);
  }
  return !is_outdated;
}

void pool_owner::StartSessions() {
  for (const auto& [id, worker] : state_.workers()) {
    if (NeedsSession(worker) && sessions_.insert(id).second) Spawn(RunSession(id));
  }
}

void pool_owner::DispatchOrders() {
  std::map<std::string, std::vector<worker_order>> starts;
  for (worker_order& order : state_.TakeOrders()) {
    if (order.is_start) {
      starts[order.task.substr(0, order.task.find('.'))].push_back(std::move(order));
    } else {
      Spawn(SendStop(std::move(order)));
    }
  }
  for (auto& [job, orders] : starts) Spawn(SendStarts(job, std::move(orders)));
}

void pool_owner::LogEvents() {
  for (const pool_event& event : state_.TakeEvents()) {
    log_fields fields;
    if (!event.job.empty()) fields.emplace_back("id", event.job);
    if (!event.task.empty()) fields.emplace_back("task", event.task);
    if (event.run != 0) fields.emplace_back("run", std::to_string(event.run));
    if (!event.worker.empty()) fields.emplace_back("worker", event.worker);
    if (!event.reason.empty()) fields.emplace_back("reason", event.reason);
    parts_.log->Write("scheduler", PoolEventName(event.kind), fields);
  }
}

std::array<int, kWorkerConditions> pool_owner::CountWorkers(boot_time now) const {
  std::array<int, kWorkerConditions> counts{};
  for (const auto& [id, worker] : state_.workers()) ++counts[static_cast<std::size_t>(worker.Condition(now))];
  return counts;
}

void pool_owner::LogWaits(const std::vector<unplaced_step>* unplaced, boot_time now) {
  if (now - waits_updated_at_ < kWaitReportInterval) return;
  waits_updated_at_ = now;
  for (const waiting_job& job : waits_.Update(state_, unplaced, now, kMaxWaitRecords)) {
    log_fields fields{{"id", job.id}, {"task", job.task}, {"cause", std::string(WaitCauseName(job.cause))}};
    if (!job.worker.empty()) fields.emplace_back("worker", job.worker);
    fields.emplace_back("waited_ms", std::to_string(job.waited.count()));
    parts_.log->Write("scheduler", "job waits", fields);
  }
  log_fields summary;
  for (int i = 0; i < kWaitCauses; ++i) {
    const int jobs = waits_.jobs_by_cause()[i];
    if (jobs > 0) summary.emplace_back(WaitCauseName(static_cast<wait_cause>(i)), std::to_string(jobs));
  }
  if (summary.empty()) return;
  const std::array<int, kWorkerConditions> workers = CountWorkers(now);
  for (int i = 0; i < kWorkerConditions; ++i) {
    summary.emplace_back(WorkerConditionName(static_cast<worker_condition>(i)), std::to_string(workers[i]));
  }
  parts_.log->Write("scheduler", "jobs wait", summary);
}

std::string pool_owner::MetricsToText() const {
  std::string text = "# TYPE hickorystall_pool_workers gauge\n";
  const std::array<int, kWorkerConditions> workers = CountWorkers(BootNow());
  for (int i = 0; i < kWorkerConditions; ++i) {
    const std::string condition(WorkerConditionName(static_cast<worker_condition>(i)));
    text += absl::StrCat("hickorystall_pool_workers{condition=\"", condition, "\"} ", workers[i], "\n");
  }
  text += "# TYPE hickorystall_pool_waiting_jobs gauge\n";
  for (int i = 0; i < kWaitCauses; ++i) {
    const std::string cause(WaitCauseName(static_cast<wait_cause>(i)));
    text += absl::StrCat("hickorystall_pool_waiting_jobs{cause=\"", cause, "\"} ", waits_.jobs_by_cause()[i],
                         "\n");
  }
  text += "# TYPE hickorystall_pool_projected_wait_seconds gauge\n";
  for (const admission::service_projection& service : projection_.services) {
    for (const admission::projected_wait& entry : service.waits) {
      text += absl::StrCat("hickorystall_pool_projected_wait_seconds{service=\"",
                           state::EscapeLabel(service.service), "\",priority=\"", entry.priority, "\"} ",
                           std::chrono::duration<double>(entry.LongestWait()).count(), "\n");
    }
  }
  text += absl::StrCat("# TYPE hickorystall_pool_refused_jobs gauge\nhickorystall_pool_refused_jobs ",
                       writer_.CountRefusedJobs(), "\n");
  text += absl::StrCat(
      "# TYPE hickorystall_pool_unstored_checkpoints gauge\nhickorystall_pool_unstored_checkpoints ",
      writer_.CountDroppedCheckpoints(), "\n");
  int evacuated_workers = 0;
  std::size_t evacuated_runs = 0;
  for (const auto& [id, worker] : state_.workers()) {
    if (!worker.evacuated) continue;
    evacuated_workers += worker.listed ? 1 : 0;
    evacuated_runs += worker.tasks.size();
  }
  text += absl::StrCat("# TYPE hickorystall_pool_evacuations gauge\nhickorystall_pool_evacuations ",
                       state_.evacuations()->domains.size(), "\n");
  text +=
      absl::StrCat("# TYPE hickorystall_pool_evacuated_workers gauge\nhickorystall_pool_evacuated_workers ",
                   evacuated_workers, "\n");
  text += absl::StrCat("# TYPE hickorystall_pool_evacuated_runs gauge\nhickorystall_pool_evacuated_runs ",
                       evacuated_runs, "\n");
  text += learned_.MetricsToText();
  return text;
}

}  // namespace hickorystall::coordination::pool
