#include "soak/faulty_workers.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "coordination/pool/owner_vm.h"
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

faulty_workers::faulty_workers(int count, memory_store& store, std::mt19937_64& random)
    : store_(store), random_(random) {
  for (int i = 0; i < count; ++i) {
    const std::string id = "worker-" + std::to_string(i);
    workers_[id] = {};
    store_.ApplyNow({{}, {{kRegistryTable, id, R"({"address":"127.0.0.1:1","born":1})"}}});
  }
}

bool faulty_workers::Chance(double share) { return std::bernoulli_distribution(share)(random_); }

std::string faulty_workers::PickWorker() {
  auto worker = workers_.begin();
  std::advance(worker, static_cast<std::ptrdiff_t>(random_() % workers_.size()));
  return worker->first;
}

void faulty_workers::RecordViolation(const std::string& violation) { violations_.push_back(violation); }

bool faulty_workers::Admit(const order_address& address) {
  std::int64_t& seen = workers_[address.worker].fencing_token;
  if (address.fencing_token < seen) return false;
  seen = address.fencing_token;
  return true;
}

bool faulty_workers::IsUnreachable(const std::string& worker) {
  return BootNow() < workers_[worker].unreachable_until;
}

void faulty_workers::MakeUnreachable(milliseconds time) {
  workers_[PickWorker()].unreachable_until = BootNow() + time;
}

void faulty_workers::Crash() {
  const std::string id = PickWorker();
  worker_model& worker = workers_[id];
  const std::int64_t incarnation = worker.incarnation + 1;
  worker = {};
  worker.incarnation = incarnation;
  store_.ApplyNow(
      {{}, {{kRegistryTable, id, absl::StrCat(R"({"address":"127.0.0.1:1","born":)", incarnation, "}")}}});
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
  const auto length = std::uniform_int_distribution<int>(100, 600)(random_);
  worker.running[order.task] = {order.run, BootNow() + milliseconds(length), Chance(kFailingShare)};
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
  BeginRun(order.address.worker, worker, order);
  return Reply(order_outcome::kDone);
}

asio::awaitable<order_reply> faulty_workers::Start(order_address address, std::string task, std::int64_t run,
                                                   std::string payload, std::string checkpoint,
                                                   worker_time deadline, milliseconds timeout) {
  (void)payload, (void)checkpoint;
  co_await transport::Sleep(milliseconds(2));
  if (IsUnreachable(address.worker)) {
    co_await transport::Sleep(timeout);
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
  if (IsUnreachable(address.worker)) {
    co_await transport::Sleep(timeout);
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
  if (IsUnreachable(address.worker)) {
    co_await transport::Sleep(wait + timeout);
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
  const bool is_lost = IsUnreachable(address.worker) || Chance(lost_share);
  if (is_lost) {
    co_await transport::Sleep(timeout);
    co_return reply;
  }
  reply.outcome = order_outcome::kDone;
  reply.lists.incarnation = worker.incarnation;
  reply.lists.clock = Clock();
  for (const auto& [task, run] : worker.running) reply.lists.running.push_back({task, run.run, "", 50});
  reply.lists.finished = worker.finished;
  co_return reply;
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

asio::awaitable<void> faulty_workers::Run() {
  while (running_) {
    const boot_time now = BootNow();
    for (auto& [id, worker] : workers_) {
      if (worker.lease <= Clock()) ExpireEnds(id);
      std::vector<std::pair<std::string, end_kind>> ends;
      for (const auto& [task, run] : worker.running) {
        if (worker.lease <= Clock()) {
          ends.emplace_back(task, end_kind::kLeaseExpired);
        } else if (run.ends_at <= now) {
          ends.emplace_back(task, run.fails ? end_kind::kFailed : end_kind::kDone);
        }
      }
      for (const auto& [task, kind] : ends) End(id, worker, task, kind);
    }
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
