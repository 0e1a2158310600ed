#include "coordination/pool/leasing_workers.h"

#include <algorithm>
#include <utility>

#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::tests {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using namespace state::pool;         // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using transport::BootNow;

worker_time leasing_workers::Clock(const worker_model& worker) const {
  return worker.first_clock + (BootNow() - worker.booted_at);
}

bool leasing_workers::Admit(worker_model& worker, const order_address& address) {
  if (address.fencing_token < worker.fencing_token) return false;
  worker.fencing_token = address.fencing_token;
  return true;
}

void leasing_workers::ExtendLease(worker_model& worker, worker_time deadline) {
  worker.deadline = std::max(worker.deadline, std::min(deadline, Clock(worker) + max_lease_));
}

void leasing_workers::ExpireLease(worker_model& worker) {
  while (!worker.running.empty() && Clock(worker) >= worker.deadline) {
    End(worker, worker.running.begin()->first, end_kind::kLeaseExpired);
  }
}

void leasing_workers::End(worker_model& worker, const std::string& task, end_kind kind) {
  worker.settled[task] = std::max(worker.settled[task], worker.running.at(task));
  worker.finished.push_back({++worker.last_end, task, worker.running.at(task), kind, ""});
  worker.running.erase(task);
}

asio::awaitable<order_reply> leasing_workers::Start(order_address address, std::string task, std::int64_t run,
                                                    std::string payload, std::string checkpoint,
                                                    worker_time deadline, milliseconds timeout) {
  (void)payload, (void)checkpoint;
  worker_model& worker = workers_[address.worker];
  if (on_start) on_start(address.worker);
  const bool is_held = std::exchange(holds_next_start_, false);
  if (is_held) held_ = {address, task, run, deadline};
  const bool is_executed = IsReplying(address.worker) && !is_held;
  starts.push_back({address.worker, worker.incarnation, is_executed});
  order_reply reply;
  if (!is_executed) {
    co_await transport::Sleep(timeout);
    co_return reply;
  }
  reply.clock = Clock(worker);
  if (!Admit(worker, address)) {
    reply.outcome = order_outcome::kFenced;
    co_return reply;
  }
  const bool is_started = ExecuteStart(worker, task, run, deadline);
  if (worker.loses_replies) {
    co_await transport::Sleep(timeout);
    co_return order_reply{};
  }
  reply.outcome = is_started ? order_outcome::kDone : order_outcome::kRefused;
  co_return reply;
}

bool leasing_workers::ExecuteStart(worker_model& worker, const std::string& task, std::int64_t run,
                                   worker_time deadline) {
  ExpireLease(worker);
  ExtendLease(worker, deadline);
  if (run <= worker.settled[task]) return false;
  worker.running[task] = run;
  return true;
}

bool leasing_workers::ExecuteHeldStart() {
  worker_model& worker = workers_[held_.address.worker];
  return Admit(worker, held_.address) && ExecuteStart(worker, held_.task, held_.run, held_.deadline);
}

asio::awaitable<order_reply> leasing_workers::Stop(order_address address, std::string task, std::int64_t run,
                                                   milliseconds timeout) {
  worker_model& worker = workers_[address.worker];
  order_reply reply;
  if (!IsReplying(address.worker)) {
    co_await transport::Sleep(timeout);
    co_return reply;
  }
  reply.clock = Clock(worker);
  reply.outcome = Admit(worker, address) ? order_outcome::kDone : order_outcome::kFenced;
  if (reply.outcome == order_outcome::kDone) worker.settled[task] = std::max(worker.settled[task], run);
  const auto found = worker.running.find(task);
  const bool is_stopped =
      reply.outcome == order_outcome::kDone && found != worker.running.end() && found->second == run;
  if (is_stopped) End(worker, task, end_kind::kStopped);
  co_return reply;
}

asio::awaitable<lists_reply> leasing_workers::Renew(order_address address, std::int64_t acknowledged_end,
                                                    std::optional<worker_time> deadline, milliseconds wait,
                                                    milliseconds timeout) {
  lists_reply reply;
  worker_model& worker = workers_[address.worker];
  if (!IsReplying(address.worker)) {
    co_await transport::Sleep(wait + timeout);
    co_return reply;
  }
  const std::int64_t incarnation = worker.incarnation;
  if (worker.loses_replies) {
    if (deadline) ExtendLease(worker, *deadline);
    co_await transport::Sleep(wait + timeout);
    co_return lists_reply{};
  }
  reply.outcome = Admit(worker, address) ? order_outcome::kDone : order_outcome::kFenced;
  if (reply.outcome == order_outcome::kFenced) co_return reply;
  ExpireLease(worker);
  if (deadline) ExtendLease(worker, *deadline);
  acknowledged[incarnation] = std::max(acknowledged[incarnation], acknowledged_end);
  std::erase_if(worker.finished, [&](const listed_end& end) { return end.number <= acknowledged_end; });
  const auto end = BootNow() + wait;
  while (worker.finished.empty() && BootNow() < end) {
    co_await transport::Sleep(milliseconds(2));
    // A call that the worker does not answer any more ends with its timeout.
    if (worker.incarnation == incarnation && IsReplying(address.worker)) continue;
    co_await transport::Sleep(timeout);
    co_return lists_reply{};
  }
  ExpireLease(worker);
  reply.lists.incarnation = incarnation;
  reply.lists.clock = Clock(worker);
  for (const auto& [task, run] : worker.running) reply.lists.running.push_back({task, run, "", 10});
  reply.lists.finished = worker.finished;
  co_return reply;
}

void leasing_workers::Boot(const std::string& worker, std::int64_t incarnation, worker_time clock) {
  worker_model model;
  model.incarnation = incarnation;
  model.booted_at = BootNow();
  model.first_clock = clock;
  model.is_up = true;
  workers_[worker] = model;
}

void leasing_workers::Crash(const std::string& worker) {
  workers_[worker].is_up = false;
  workers_[worker].running.clear();
}

void leasing_workers::Complete(const std::string& worker, const std::string& task) {
  ExpireLease(workers_[worker]);
  if (workers_[worker].running.contains(task)) End(workers_[worker], task, end_kind::kDone);
}

bool leasing_workers::IsRunning(const std::string& worker, const std::string& task) {
  ExpireLease(workers_[worker]);
  return workers_[worker].running.contains(task);
}

}  // namespace hickorystall::tests
