#include "soak/faulty_workers.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>

#include "soak/soak_vm.h"
#include "state/pool/job_entry.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::tests {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using namespace state::pool;         // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using transport::BootNow;

namespace {

// Accelerators of a worker; each task uses one.
constexpr std::size_t kTasksPerWorker = 8;
constexpr milliseconds kTick{5};
constexpr double kFailingShare = 0.03;

worker_time Clock() { return worker_time(BootNow().time_since_epoch()); }

order_reply Reply(order_outcome outcome) {
  order_reply reply;
  reply.outcome = outcome;
  reply.clock = Clock();
  return reply;
}

}  // namespace

faulty_workers::faulty_workers(int count, int racks, milliseconds gang_timeout, memory_store& store,
                               std::mt19937_64& random)
    : gang_timeout_(gang_timeout), store_(store), random_(random) {
  for (int i = 0; i < count; ++i) {
    AddWorker(absl::StrCat("127.0.0.1:", i + 1), absl::StrCat("rack-", i % racks));
  }
}

void faulty_workers::AddWorker(const std::string& address, const std::string& rack) {
  const std::string id = absl::StrCat("worker-", ids_++);
  worker_model& worker = workers_[id];
  worker.address = address;
  worker.rack = rack;
  Register(id);
}

void faulty_workers::Register(const std::string& id) {
  worker_model& worker = workers_.at(id);
  worker.is_registered = true;
  store_.ApplyNow(
      {{}, {{kRegistryTable, id, EncodeRegistration(worker.address, worker.incarnation, worker.rack)}}});
}

void faulty_workers::Deregister(const std::string& id) {
  workers_.at(id).is_registered = false;
  store_.ApplyNow({{}, {{kRegistryTable, id, std::nullopt}}});
}

bool faulty_workers::Chance(double share) { return std::bernoulli_distribution(share)(random_); }

std::string faulty_workers::PickWorker() {
  std::vector<std::string> present;
  for (const auto& [id, worker] : workers_) {
    if (!worker.has_ended) present.push_back(id);
  }
  return present[random_() % present.size()];
}

void faulty_workers::RecordViolation(const std::string& violation) { violations_.push_back(violation); }

bool faulty_workers::Admit(const order_address& address) {
  std::int64_t& seen = workers_[address.worker].fencing_token;
  if (address.fencing_token < seen) return false;
  seen = address.fencing_token;
  return true;
}

bool faulty_workers::IsUnreachable(const std::string& worker) {
  const worker_model& model = workers_[worker];
  return model.has_ended || BootNow() < model.unreachable_until;
}

asio::awaitable<process_sign> faulty_workers::WaitWithoutReply(std::string worker, milliseconds timeout) {
  const worker_model& model = workers_[worker];
  if (model.has_ended && model.refuses_connections) co_return process_sign::kRefused;
  co_await transport::Sleep(timeout);
  co_return process_sign::kNone;
}

void faulty_workers::MakeUnreachable(milliseconds time) {
  workers_[PickWorker()].unreachable_until = BootNow() + time;
}

void faulty_workers::MakeUnhealthy(milliseconds time) {
  workers_[PickWorker()].unhealthy_until = BootNow() + time;
}

void faulty_workers::Crash() {
  const std::string id = PickWorker();
  worker_model& worker = workers_[id];
  worker_model restarted;
  restarted.incarnation = worker.incarnation + 1;
  restarted.address = worker.address;
  restarted.rack = worker.rack;
  worker = std::move(restarted);
  Register(id);
}

void faulty_workers::EndProcess(const std::string& id) {
  worker_model& worker = workers_[id];
  worker.has_ended = true;
  worker.refuses_connections = Chance(0.5);
  worker.running.clear();
  worker.finished.clear();
  // A late start does not reach another incarnation.
  ++worker.incarnation;
}

bool faulty_workers::IsLastInRack(const std::string& id) const {
  const std::string& rack = workers_.at(id).rack;
  return std::none_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    return entry.first != id && entry.second.rack == rack && !entry.second.has_ended;
  });
}

asio::awaitable<void> faulty_workers::Leave(milliseconds lapse) {
  const std::string id = PickWorker();
  if (IsLastInRack(id)) co_return;
  EndProcess(id);
  co_await transport::Sleep(lapse);
  Deregister(id);
}

asio::awaitable<void> faulty_workers::Replace(milliseconds pause, milliseconds lapse) {
  const std::string id = PickWorker();
  EndProcess(id);
  co_await transport::Sleep(std::min(pause, lapse));
  if (lapse <= pause) Deregister(id);
  co_await transport::Sleep(pause - std::min(pause, lapse));
  const worker_model& worker = workers_[id];
  workers_[id].is_replaced = true;
  AddWorker(worker.address, worker.rack);
  if (lapse <= pause) co_return;
  co_await transport::Sleep(lapse - pause);
  Deregister(id);
}

asio::awaitable<void> faulty_workers::LapseRegistrations(int count, milliseconds time) {
  std::vector<std::string> chosen;
  for (const auto& [id, worker] : workers_) {
    if (worker.is_registered && !worker.has_ended) chosen.push_back(id);
  }
  std::shuffle(chosen.begin(), chosen.end(), random_);
  chosen.resize(std::min(chosen.size(), static_cast<std::size_t>(count)));
  for (const std::string& id : chosen) Deregister(id);
  co_await transport::Sleep(time);
  for (const std::string& id : chosen) {
    if (!workers_[id].has_ended) Register(id);
  }
}

bool faulty_workers::IsRunning(const std::string& job) const {
  const std::string prefix = job + ".";
  for (const auto& [id, worker] : workers_) {
    const auto found = worker.running.lower_bound(prefix);
    if (found != worker.running.end() && found->first.starts_with(prefix)) return true;
  }
  return false;
}

std::vector<worker_view> faulty_workers::SoundWorkers() const {
  std::vector<worker_view> views;
  for (const auto& [id, worker] : workers_) {
    if (!worker.is_registered || worker.has_ended || BootNow() < worker.unreachable_until) continue;
    views.push_back(
        {worker.rack, static_cast<int>(worker.running.size()), static_cast<int>(kTasksPerWorker)});
  }
  return views;
}

void faulty_workers::BeginRun(const std::string& worker_id, worker_model& worker, const late_start& order) {
  for (const auto& [id, other] : workers_) {
    if (other.running.contains(order.task)) {
      RecordViolation(
          absl::StrCat("duplicate run: ", order.task, " starts on ", worker_id, " while it runs on ", id));
    }
  }
  if (worker.running.size() >= kTasksPerWorker) RecordViolation("too many tasks on " + worker_id);
  starts_.push_back({order.task, BootNow()});
  step_behaviour behaviour;
  const std::optional<task_name_parts> parts = ParseTaskName(order.task);
  const auto found = behaviours_.find({parts->job, parts->step});
  if (found != behaviours_.end()) behaviour = found->second;
  const auto length = std::uniform_int_distribution<std::int64_t>(behaviour.shortest.count(),
                                                                  behaviour.longest.count())(random_);
  run_model run;
  run.run = order.run;
  run.started_at = BootNow();
  run.gang_size = behaviour.gang_size;
  run.ends_at = run.started_at + milliseconds(length);
  run.fails = behaviour.is_poison || Chance(kFailingShare);
  worker.running[order.task] = run;
}

order_reply faulty_workers::Execute(const late_start& order) {
  worker_model& worker = workers_[order.address.worker];
  if (!Admit(order.address)) return Reply(order_outcome::kFenced);
  if (order.deadline <= Clock()) return Reply(order_outcome::kRefused);
  worker.lease = std::max(worker.lease, order.deadline);
  const auto found = worker.running.find(order.task);
  if (found != worker.running.end() && found->second.run == order.run) return Reply(order_outcome::kDone);
  if (found != worker.running.end() || order.run <= worker.highest[order.task]) {
    return Reply(order_outcome::kRefused);
  }
  if (BootNow() < worker.unhealthy_until || Chance(refused_share)) return Reply(order_outcome::kUnhealthy);
  BeginRun(order.address.worker, worker, order);
  return Reply(order_outcome::kDone);
}

asio::awaitable<order_reply> faulty_workers::Start(order_address address, std::string task, std::int64_t run,
                                                   std::string payload, std::string checkpoint,
                                                   worker_time deadline, milliseconds timeout) {
  (void)payload, (void)checkpoint;
  co_await transport::Sleep(milliseconds(2));
  if (workers_[address.worker].is_replaced) co_return Reply(order_outcome::kIncarnationMismatch);
  if (IsUnreachable(address.worker)) {
    co_await WaitWithoutReply(address.worker, timeout);
    co_return order_reply{};
  }
  const late_start order{address, task, run, deadline, workers_[address.worker].incarnation, {}};
  if (Chance(late_share)) {
    late_starts_.push_back(order);
    late_starts_.back().due =
        BootNow() + milliseconds(std::uniform_int_distribution<int>(200, 2000)(random_));
    co_await transport::Sleep(timeout);
    co_return order_reply{};
  }
  const order_reply reply = Execute(order);
  if (!Chance(lost_share)) co_return reply;
  co_await transport::Sleep(timeout);
  co_return order_reply{};
}

asio::awaitable<order_reply> faulty_workers::Stop(order_address address, std::string task, std::int64_t run,
                                                  milliseconds timeout) {
  co_await transport::Sleep(milliseconds(2));
  if (workers_[address.worker].is_replaced) co_return Reply(order_outcome::kIncarnationMismatch);
  if (IsUnreachable(address.worker)) {
    co_await WaitWithoutReply(address.worker, timeout);
    co_return order_reply{};
  }
  if (!Admit(address)) co_return Reply(order_outcome::kFenced);
  worker_model& worker = workers_[address.worker];
  std::int64_t& highest = worker.highest[task];
  highest = std::max(highest, run);
  const auto found = worker.running.find(task);
  if (found != worker.running.end() && found->second.run == run) {
    End(address.worker, worker, task, end_kind::kStopped);
  }
  if (!Chance(lost_share)) co_return Reply(order_outcome::kDone);
  co_await transport::Sleep(timeout);
  co_return order_reply{};
}

asio::awaitable<lists_reply> faulty_workers::Renew(order_address address, std::int64_t acknowledged_end,
                                                   std::optional<worker_time> deadline, milliseconds wait,
                                                   milliseconds timeout) {
  co_await transport::Sleep(milliseconds(2));
  lists_reply reply;
  if (workers_[address.worker].is_replaced) {
    reply.outcome = order_outcome::kIncarnationMismatch;
    co_return reply;
  }
  if (IsUnreachable(address.worker)) {
    reply.sign = co_await WaitWithoutReply(address.worker, wait + timeout);
    co_return reply;
  }
  if (!Admit(address)) {
    reply.outcome = order_outcome::kFenced;
    co_return reply;
  }
  worker_model& worker = workers_[address.worker];
  const std::int64_t incarnation = worker.incarnation;
  if (worker.lease <= Clock()) ExpireEnds(address.worker);
  if (deadline) worker.lease = std::max(worker.lease, *deadline);
  for (observed_end& entry : ends_) {
    if (entry.worker == address.worker && entry.incarnation == incarnation &&
        entry.end.number <= acknowledged_end && !entry.expired) {
      entry.acknowledged = true;
    }
  }
  std::erase_if(worker.finished, [&](const listed_end& entry) { return entry.number <= acknowledged_end; });
  const auto end = BootNow() + wait;
  while (worker.finished.empty() && worker.incarnation == incarnation && BootNow() < end)
    co_await transport::Sleep(kTick);
  if (worker.has_ended && worker.refuses_connections) {
    reply.sign = process_sign::kClosed;
    co_return reply;
  }
  const bool is_lost = IsUnreachable(address.worker) || Chance(lost_share);
  if (is_lost) {
    co_await transport::Sleep(timeout);
    co_return reply;
  }
  reply.outcome = order_outcome::kDone;
  reply.lists.incarnation = worker.incarnation;
  reply.lists.clock = Clock();
  for (const auto& [task, run] : worker.running) {
    reply.lists.running.push_back({task, run.run, "", PercentOf(run)});
  }
  reply.lists.finished = worker.finished;
  co_return reply;
}

int faulty_workers::PercentOf(const run_model& run) {
  if (run.gang_size > 1 && !run.is_gang_complete) return 0;
  const auto share =
      (BootNow() - run.started_at) * 100 / std::max(milliseconds(1), run.ends_at - run.started_at);
  return static_cast<int>(std::clamp<std::int64_t>(share, 0, 99));
}

void faulty_workers::End(const std::string& worker_id, worker_model& worker, const std::string& task,
                         end_kind kind) {
  const std::int64_t run = worker.running.at(task).run;
  worker.running.erase(task);
  std::int64_t& highest = worker.highest[task];
  highest = std::max(highest, run);
  worker.finished.push_back({++worker.last_end, task, run, kind, ""});
  ends_.push_back({worker_id, worker.incarnation, worker.finished.back(), BootNow()});
}

void faulty_workers::ExpireEnds(const std::string& worker_id) {
  for (observed_end& entry : ends_) {
    if (entry.worker == worker_id && !entry.acknowledged) entry.expired = true;
  }
}

void faulty_workers::UpdateGangs() {
  struct member {
    std::string worker;
    std::string task;
    run_model* run;
  };
  std::map<std::string, std::vector<member>> gangs;
  for (auto& [id, worker] : workers_) {
    for (auto& [task, run] : worker.running) {
      if (run.gang_size == 1) continue;
      gangs[absl::StrCat(task.substr(0, task.rfind('.')), "#", run.run)].push_back({id, task, &run});
    }
  }
  const boot_time now = BootNow();
  for (const auto& [name, members] : gangs) {
    const run_model& first = *members.front().run;
    const bool is_whole = static_cast<int>(members.size()) == first.gang_size;
    if (is_whole && !first.is_gang_complete) {
      const milliseconds length = first.ends_at - first.started_at;
      // All members end at the same time, unless one fails.
      for (const member& entry : members) {
        entry.run->is_gang_complete = true;
        entry.run->started_at = now;
        entry.run->ends_at = now + length;
        entry.run->fails = &entry == &members.front() && first.fails;
      }
      if (first.fails) members.front().run->ends_at -= 2 * kTick;
    }
    if (is_whole) continue;
    const bool is_late = std::any_of(members.begin(), members.end(), [&](const member& entry) {
      return now - entry.run->started_at > gang_timeout_;
    });
    const bool is_broken = std::any_of(members.begin(), members.end(),
                                       [](const member& entry) { return entry.run->is_gang_complete; });
    if (!is_late && !is_broken) continue;
    for (const member& entry : members) {
      End(entry.worker, workers_[entry.worker], entry.task,
          is_broken ? end_kind::kGangMemberLost : end_kind::kGangIncomplete);
    }
  }
}

asio::awaitable<void> faulty_workers::Run() {
  while (running_) {
    const boot_time now = BootNow();
    for (auto& [id, worker] : workers_) {
      if (worker.lease <= Clock()) ExpireEnds(id);
      std::vector<std::pair<std::string, end_kind>> ends;
      for (const auto& [task, run] : worker.running) {
        if (worker.lease <= Clock()) {
          ends.emplace_back(task, end_kind::kLeaseExpired);
        } else if (run.ends_at <= now && (run.gang_size == 1 || run.is_gang_complete)) {
          ends.emplace_back(task, run.fails ? end_kind::kFailed : end_kind::kDone);
        }
      }
      for (const auto& [task, kind] : ends) End(id, worker, task, kind);
    }
    UpdateGangs();
    const auto due = std::partition(late_starts_.begin(), late_starts_.end(),
                                    [now](const late_start& order) { return order.due > now; });
    const std::vector<late_start> orders(due, late_starts_.end());
    late_starts_.erase(due, late_starts_.end());
    for (const late_start& order : orders) {
      if (workers_[order.address.worker].incarnation == order.incarnation) Execute(order);
    }
    co_await transport::Sleep(kTick);
  }
}

void faulty_workers::CheckHistory(int max_attempts) {
  for (const observed_start& start : starts_) {
    int failed = 0;
    for (const observed_end& entry : ends_) {
      if (entry.end.task != start.task || !entry.acknowledged || entry.at > start.at) continue;
      if (entry.end.kind == end_kind::kDone)
        RecordViolation("duplicate run: " + start.task + " starts after its end was acknowledged");
      failed += entry.end.kind == end_kind::kFailed ? 1 : 0;
    }
    if (failed >= max_attempts) RecordViolation("too many attempts of " + start.task);
  }
}

}  // namespace hickorystall::tests
