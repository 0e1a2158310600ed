#include "coordination/scheduler_loop.h"

#include <glog/logging.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <future>

#include "protocol/job_codec.h"
#include "state/text.h"

namespace hickorystall::coordination {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using nlohmann::json;
using state::command_kind;
using state::job_record;
using state::job_state;
using std::chrono::milliseconds;

namespace {

// Shortest time between two steps, so that a repeated failure cannot occupy a whole core.
constexpr milliseconds kMinStepInterval{20};
// Longest time between two steps. Lost workers and expired probations raise no event and are found by
// polling.
constexpr milliseconds kMaxStepInterval{100};
constexpr milliseconds kDumpTimeout{1000};
// Interval at which Run checks whether its background coroutines have ended.
constexpr milliseconds kStopCheckInterval{10};

}  // namespace

scheduler_loop::scheduler_loop(protocol::table_client& table, protocol::worker_client& client,
                               scheduler_settings settings, decision_functions functions,
                               config_source config, vm_source leaving_vms,
                               lease_renewer::peer_source live_peers)
    : settings_(std::move(settings)),
      functions_(std::move(functions)),
      config_(std::move(config)),
      leaving_vms_(std::move(leaving_vms)),
      lease_(table, settings_.lease),
      store_(table, lease_, settings_.store),
      watcher_(client, settings_.watcher, [this] { WakeUp(); }),
      gangs_(client, store_, lease_, watcher_, settings_.gangs, [this] { WakeUp(); }),
      renewer_(client, table, settings_.renewer, config_, std::move(live_peers)) {}

void scheduler_loop::WakeUp() {
  changed_ = true;
  if (wakeup_event_.has_value()) wakeup_event_->Set();
}

void scheduler_loop::WakeUpInbox() { inbox_wakeup_ = true; }

asio::awaitable<void> scheduler_loop::Run(std::function<bool()> stop) {
  executor_ = co_await asio::this_coro::executor;
  started_ = true;
  const auto spawn = [this](asio::awaitable<void> task) {
    ++background_;
    asio::co_spawn(*executor_, std::move(task), [this](const std::exception_ptr& failure) {
      CHECK(failure == nullptr) << "scheduler: a background task ended with an exception";
      --background_;
    });
  };
  spawn(lease_.Run(stop));
  spawn(renewer_.Run(stop));
  spawn(WatchVmList(stop));
  while (!stop()) {
    co_await RunStep();
    co_await WaitForWork();
  }
  co_await lease_.Release();
  ready_ = false;
  watcher_.Clear();
  while (background_ > 0) co_await transport::Sleep(kStopCheckInterval);
}

asio::awaitable<void> scheduler_loop::WaitForWork() {
  co_await transport::Sleep(kMinStepInterval);
  if (changed_ || inbox_wakeup_) co_return;
  wakeup_event_.emplace(*executor_);
  co_await wakeup_event_->Wait(kMaxStepInterval);
}

asio::awaitable<void> scheduler_loop::RunStep() {
  if (!co_await Prepare()) {
    // Loading the jobs after an acquisition sets it again.
    changed_ = false;
    co_return;
  }
  co_await ApplyInbox();
  const clock::time_point now = clock::now();
  if (!lease_.owns(now) || (!changed_ && now < next_decision_)) co_return;
  changed_ = false;
  next_decision_ = now + settings_.decision_interval;
  gangs_.Advance(*executor_);
  co_await DecideAndCommit();
}

// Returns true when this instance owns the pool and has its jobs and a configuration.
asio::awaitable<bool> scheduler_loop::Prepare() {
  if (!lease_.holds_epoch()) {
    if (loaded_acquisition_ != 0) {
      loaded_acquisition_ = 0;
      store_.Clear();
      gangs_.Clear();
      watcher_.Clear();
      watched_config_ = nullptr;
      waiting_reasons_.clear();
    }
    ready_ = config_() != nullptr;
    co_return false;
  }
  const auto config = config_();
  if (config == nullptr || !lease_.owns(clock::now())) co_return false;
  if (loaded_acquisition_ != lease_.acquisitions()) gangs_.Clear();
  if (loaded_acquisition_ != lease_.acquisitions() || store_.stale()) {
    const std::int64_t acquisition = lease_.acquisitions();
    const absl::Status loaded = co_await store_.Load();
    LOG_IF(WARNING, !loaded.ok()) << "scheduler: jobs could not be loaded: " << loaded.message();
    if (!loaded.ok() || !lease_.holds_epoch()) co_return false;
    loaded_acquisition_ = acquisition;
    changed_ = true;
  }
  if (watched_config_ != config) {
    watched_config_ = config;
    watcher_.Watch(config->config, *executor_);
    changed_ = true;
  }
  ready_ = true;
  co_return true;
}

asio::awaitable<void> scheduler_loop::ApplyInbox() {
  const clock::time_point now = clock::now();
  if (!inbox_wakeup_.exchange(false) && now < next_inbox_) co_return;
  next_inbox_ = now + settings_.inbox_interval;
  const state::wall_time wall = WallNow();
  const absl::StatusOr<std::size_t> row_count =
      co_await store_.ApplyInbox([this](const job_record& record) { return ExplainRefusal(record); }, wall);
  if (row_count.ok() && *row_count > 0) {
    LOG(INFO) << "scheduler: read " << *row_count << " inbox rows";
    changed_ = true;
  }
  co_await store_.DeleteExpired(wall);
}

std::string scheduler_loop::ExplainRefusal(const job_record& record) const {
  if (watched_config_ == nullptr) return "";
  const state::cluster_config& config = watched_config_->config;
  const state::workspace_config* workspace = config.FindWorkspace(record.workspace);
  if (workspace == nullptr) return state::StrCat("workspace ", record.workspace, " does not exist");
  return functions_.explain_impossible(config, *workspace, record.spec);
}

asio::awaitable<void> scheduler_loop::DecideAndCommit() {
  if (!lease_.owns(clock::now()) || store_.stale()) co_return;
  const auto config = watched_config_;
  const state::wall_time now = WallNow();
  state::scheduling_snapshot snapshot;
  snapshot.config = &config->config;
  snapshot.workers = watcher_.Statuses();
  snapshot.learned = gangs_.learned();
  store_.SwapActive(snapshot.jobs);
  const clock::time_point started = clock::now();
  state::scheduling_decision decision = functions_.decide(snapshot, now);
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(clock::now() - started);
  store_.SwapActive(snapshot.jobs);
  ++decisions_;
  longest_decision_ = std::max(longest_decision_, took);
  waiting_reasons_ = std::move(decision.waiting);
  if (decision.commands.empty()) co_return;
  const absl::Status committed = co_await store_.Commit([&](job_batch& batch) {
    for (const state::scheduling_command& command : decision.commands) ApplyCommand(batch, command, now);
  });
  LOG_IF(WARNING, !committed.ok()) << "scheduler: a decision was not written: " << committed.message();
  changed_ = true;
  if (committed.ok() && lease_.owns(clock::now())) gangs_.Advance(*executor_);
}

// The job may have changed since the decision, for example by a cancellation. A command that no longer
// applies is dropped.
void scheduler_loop::ApplyCommand(job_batch& batch, const state::scheduling_command& command,
                                  state::wall_time now) const {
  job_record* record = batch.Find(command.job_id);
  if (record == nullptr) return;
  const bool queued = record->state == job_state::kQueued;
  switch (command.kind) {
    case command_kind::kStart:
      if (!queued) return;
      record->state = job_state::kStarting;
      ++record->attempt;
      record->started_at = now;
      record->placement = command.placement;
      record->reason = command.reason;
      return;
    case command_kind::kReclaim:
      if (record->state != job_state::kRunning && record->state != job_state::kStarting) return;
      LOG(INFO) << "scheduler: job " << record->id << " is reclaimed: " << command.reason;
      record->state = job_state::kReclaiming;
      record->reason = command.reason;
      return;
    case command_kind::kRefuse:
      if (!queued) return;
      LOG(INFO) << "scheduler: job " << record->id << " is refused: " << command.reason;
      record->state = job_state::kRefused;
      record->reason = command.reason;
      record->finished_at = now;
      return;
  }
}

asio::awaitable<void> scheduler_loop::WatchVmList(std::function<bool()> stop) {
  while (!stop()) {
    const absl::StatusOr<std::vector<std::string>> leaving = co_await leaving_vms_();
    if (leaving.ok()) watcher_.SetLeaving({leaving->begin(), leaving->end()});
    const clock::time_point next = clock::now() + settings_.vm_list_interval;
    while (!stop() && clock::now() < next) co_await transport::Sleep(kMaxStepInterval);
  }
}

json scheduler_loop::RequestDump() const {
  if (!started_) return {{"error", "the scheduler has not started"}};
  const auto result = std::make_shared<std::promise<json>>();
  std::future<json> dump = result->get_future();
  // Runs immediately when the caller is on the loop.
  asio::dispatch(*executor_, [this, result] { result->set_value(MakeDump()); });
  if (dump.wait_for(kDumpTimeout) != std::future_status::ready) return {{"error", "the scheduler is busy"}};
  return dump.get();
}

json scheduler_loop::MakeDump() const {
  json jobs = json::array();
  for (const auto& [id, record] : store_.active()) {
    json entry = protocol::JobToJson(record);
    const auto waits = waiting_reasons_.find(id);
    if (waits != waiting_reasons_.end() && record.state == job_state::kQueued)
      entry["waits_because"] = waits->second;
    jobs.push_back(std::move(entry));
  }
  json learned = json::object();
  for (const auto& [name, kind] : gangs_.learned())
    learned[name] = {{"samples", kind.samples}, {"run_time_ratio", kind.run_time_ratio}};
  return {{"ownership", lease_.Dump(clock::now())},
          {"jobs", std::move(jobs)},
          {"final_jobs", store_.final_jobs()},
          {"leases", gangs_.DumpLeases()},
          {"workers", watcher_.Dump(WallNow())},
          {"renewer", renewer_.Dump()},
          {"learned", std::move(learned)},
          {"decisions", decisions_},
          {"longest_decision_us", longest_decision_.count()}};
}

}  // namespace hickorystall::coordination
