// Part of pool_owner: orders to workers and their replies.
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>

#include "coordination/pool/pool_owner.h"
#include "transport/async_event.h"

namespace hickorystall::coordination::pool {

namespace asio = boost::asio;
using namespace state::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using transport::BootNow;

namespace {

// Timeout of a worker's reply, which takes a few milliseconds in addition to the network delay.
constexpr milliseconds kOrderTimeout{400};
// Maximum wait of a renewal for an end. It bounds the age of the known progress and is a sixth of the lease.
constexpr milliseconds kRenewWait{1000};
// The same while leases are withheld from the worker: it must be renewed soon after that ends.
constexpr milliseconds kWithheldRenewWait{100};
// Pause between calls to a worker that does not reply.
constexpr milliseconds kUnreachablePause{400};
// Pause before an order without a reply is sent again.
constexpr milliseconds kOrderRetryPause{100};
// Maximum age of the latest reply of a worker that is granted a lease. A deadline that reaches a later
// incarnation of the worker grants the longest possible lease, so a worker must not be able to restart within
// this time. Workers are down for a second or more when they restart.
constexpr milliseconds kMaxReplyAge{250};
// Time after which a start that was never sent is given up, so that its unit starts at another worker. It
// allows for one lost reply: its timeout, the pause of the session, and a retry.
constexpr milliseconds kUnsentStartTimeout{1000};
// Time after which starts that the store has not recorded are given up, so that they do not hold capacity
// that other jobs can use. It is several times the reply time of a slow store, which is 0.4 s.
constexpr milliseconds kRecordTimeout{3000};
// Time allowed for storing ends. When it has passed, the worker's lists are read again without acknowledging
// the ends.
constexpr milliseconds kStoreWait{500};

std::string JobOf(const std::string& task) { return task.substr(0, task.find('.')); }

}  // namespace

order_address pool_owner::AddressOf(const worker_entry& worker) const {
  return {worker.registration.address, worker.registration.id, state_.epoch()};
}

void pool_owner::HandleReply(const std::string& worker, const order_reply& reply) {
  if (reply.clock) state_.UpdateWorkerClock(worker, *reply.clock, BootNow());
  if (reply.outcome == order_outcome::kFenced) {
    Stop();
    parts_.owner->Lose(absl::StrCat("worker ", worker, " has seen a later owner"));
  }
}

// A call that fails with an exception counts as one without a reply.
void pool_owner::LogFailedCall(const std::string& worker, const std::exception& failure) {
  parts_.log->Write("scheduler", "call failed", {{"worker", worker}, {"reason", failure.what()}});
}

bool pool_owner::NeedsSession(const worker_entry& worker) {
  const bool has_runs = !worker.tasks.empty() || !worker.unaccounted.empty();
  // A registered worker that does not reply is called until it does: it may only have been cut off.
  return !worker.lists_applied || has_runs || (worker.listed && !worker.reachable);
}

// A worker without a reply keeps its runs until its lease has expired, unless its process is known to have
// ended. A refused connection alone does not show that, since a firewall also refuses; together with the
// orderly end of a waiting call it does. A draining worker may stop listening before its runs have ended.
void pool_owner::HandleNoReply(const std::string& id, const lists_reply& reply) {
  state_.MarkUnreachable(id, reply.reason, BootNow());
  silence_.Notify();
  worker_entry* worker = state_.FindWorker(id);
  if (worker == nullptr) return;
  if (reply.sign == process_sign::kClosed) worker->closed_a_call = true;
  if (reply.sign != process_sign::kRefused || !worker->closed_a_call || worker->registration.draining) return;
  state_.HandleProcessEnd(id);
  Wake();
}

void pool_owner::HandleFailedCall(const std::string& id, const lists_reply& reply) {
  if (reply.outcome == order_outcome::kFenced) {
    Stop();
    parts_.owner->Lose(absl::StrCat("worker ", id, " has seen a later owner"));
  } else if (reply.outcome == order_outcome::kIncarnationMismatch) {
    state_.HandleIncarnationMismatch(id);
    Wake();
  } else {
    HandleNoReply(id, reply);
  }
}

// Calls one worker repeatedly while it has work: reads its lists, acknowledges ends and renews its lease.
asio::awaitable<void> pool_owner::RunSession(std::string id) {
  while (!stopped_) {
    const worker_entry* worker = state_.FindWorker(id);
    if (worker == nullptr || !NeedsSession(*worker)) break;
    if (!MayOrder()) {
      co_await transport::Sleep(kOrderRetryPause);
      continue;
    }
    const bool replied = co_await RenewWorker(id);
    worker = state_.FindWorker(id);
    const bool was_closed = worker != nullptr && worker->closed_a_call;
    if (!replied) co_await transport::Sleep(was_closed ? kOrderRetryPause : kUnreachablePause);
  }
  sessions_.erase(id);
}

asio::awaitable<bool> pool_owner::RenewWorker(std::string id) {
  worker_entry* worker = state_.FindWorker(id);
  const bool was_reachable = worker->reachable;
  const bool is_confirmed =
      was_reachable && worker->lists_applied && co_await ConfirmIncarnation(id, boot_time{});
  if (stopped_) co_return false;
  worker = state_.FindWorker(id);
  if (worker == nullptr || worker->reachable != was_reachable) co_return false;
  const std::int64_t incarnation = worker->registration.incarnation;
  std::optional<worker_time> deadline;
  // An unreachable worker gets no new lease: the lease must expire so that its tasks can start elsewhere.
  if (is_confirmed && !worker->tasks.empty() && !worker->lease_withheld)
    deadline = state_.GrantLease(id, BootNow());
  const milliseconds wait = !is_confirmed            ? milliseconds(0)
                            : worker->lease_withheld ? kWithheldRenewWait
                                                     : kRenewWait;
  const std::int64_t call_number = state_.NextCallNumber();
  const order_address address = AddressOf(*worker);
  const std::int64_t acknowledged = worker->acknowledged_end;
  // The numbers of ends start anew with each incarnation.
  const std::int64_t acknowledged_to_worker = is_confirmed ? acknowledged : 0;
  const boot_time sent_at = BootNow();
  lists_reply reply;
  try {
    reply = co_await parts_.orders->Renew(address, acknowledged_to_worker, deadline, wait, kOrderTimeout);
  } catch (const std::exception& failure) {
    LogFailedCall(id, failure);
  }
  if (stopped_) co_return false;
  worker = state_.FindWorker(id);
  if (worker == nullptr) co_return false;
  if (reply.outcome != order_outcome::kDone) {
    // A connection that is closed in an orderly way shows that the process that received the call has ended.
    const bool may_execute = reply.outcome == order_outcome::kNoReply && reply.sign != process_sign::kClosed;
    if (deadline && may_execute) state_.HandleUnansweredGrant(id, incarnation, sent_at);
    HandleFailedCall(id, reply);
    co_return false;
  }
  if (deadline) state_.HandleGrantReply(id, *deadline, reply.lists.clock, BootNow());
  const bool is_same_incarnation = reply.lists.incarnation == incarnation || incarnation == 0;
  const std::int64_t highest = state_.ApplyWorkerLists(id, reply.lists, call_number, BootNow());
  if (!was_reachable || worker->lease_withheld) silence_.Notify();
  Wake();
  if (highest > acknowledged || !is_same_incarnation) {
    std::set<std::string> jobs;
    for (const listed_end& end : reply.lists.finished) jobs.insert(JobOf(end.task));
    const std::set<std::string> unstored = co_await writer_.WaitJobsStored(jobs, kStoreWait);
    worker = state_.FindWorker(id);
    if (!stopped_ && worker != nullptr && worker->registration.incarnation == reply.lists.incarnation) {
      // Acknowledging an end covers all ends before it, so those from the first one that is not stored wait.
      std::int64_t stored_end = highest;
      for (const listed_end& end : reply.lists.finished) {
        if (unstored.contains(JobOf(end.task))) stored_end = std::min(stored_end, end.number - 1);
      }
      worker->acknowledged_end = std::max(worker->acknowledged_end, stored_end);
    }
  }
  co_return true;
}

asio::awaitable<bool> pool_owner::ConfirmIncarnation(std::string id, boot_time time) {
  const auto is_confirmed = [this, &id, time] {
    return !stopped_ && state_.HasRepliedSince(id, std::max(time, BootNow() - kMaxReplyAge));
  };
  if (is_confirmed()) co_return true;
  // A session calls an unreachable worker until it replies.
  const worker_entry* worker = state_.FindWorker(id);
  if (worker == nullptr || !worker->reachable || !MayOrder()) co_return false;
  const auto call = incarnation_calls_.find(id);
  if (call != incarnation_calls_.end()) {
    const std::shared_ptr<transport::wake_signal> end = call->second;
    co_await end->Wait(kOrderTimeout);
  } else {
    const auto end = std::make_shared<transport::wake_signal>(executor_);
    incarnation_calls_.emplace(id, end);
    co_await AskIncarnation(id);
    incarnation_calls_.erase(id);
    end->Notify();
  }
  co_return is_confirmed();
}

asio::awaitable<void> pool_owner::AskIncarnation(std::string id) {
  const order_address address = AddressOf(*state_.FindWorker(id));
  lists_reply reply;
  try {
    reply = co_await parts_.orders->Renew(address, 0, std::nullopt, milliseconds(0), kOrderTimeout);
  } catch (const std::exception& failure) {
    LogFailedCall(id, failure);
  }
  if (stopped_ || state_.FindWorker(id) == nullptr) co_return;
  if (reply.outcome != order_outcome::kDone) {
    HandleFailedCall(id, reply);
  } else {
    state_.HandleIncarnationReply(id, reply.lists.incarnation, reply.lists.clock, BootNow());
  }
}

// A later owner must know which workers to ask before it starts the same units, so the starts are recorded
// before they are sent.
asio::awaitable<void> pool_owner::SendStarts(std::string job, std::vector<worker_order> orders) {
  const bool is_recorded = co_await writer_.WaitJobStored(job, kRecordTimeout);
  if (stopped_) co_return;
  if (is_recorded) {
    for (worker_order& order : orders) Spawn(SendStart(std::move(order)));
    co_return;
  }
  parts_.log->Write("scheduler", "starts not recorded",
                    {{"id", job}, {"starts", std::to_string(orders.size())}});
  state_.HoldUntilStored(job);
  for (const worker_order& order : orders)
    state_.HandleStartReply(order.task, order.run, start_reply::kNotRecorded, BootNow());
  Wake();
}

asio::awaitable<order_reply> pool_owner::TryStart(const worker_order& order,
                                                  std::optional<worker_time>& deadline) {
  order_reply reply;
  reply.outcome = order_outcome::kNotSent;
  const worker_entry* worker = state_.FindWorker(order.worker);
  if (worker == nullptr || worker->lease_withheld || !MayOrder() || !AreEvacuationsCurrent()) co_return reply;
  const order_address address = AddressOf(*worker);
  const std::int64_t incarnation = worker->registration.incarnation;
  // Retries keep the deadline, so that they do not extend the lease.
  if (!deadline) deadline = state_.GrantLease(order.worker, BootNow());
  const boot_time sent_at = BootNow();
  state_.SetStartInFlight(order.task, order.run, true);
  try {
    reply = co_await parts_.orders->Start(address, order.task, order.run, order.payload, order.checkpoint,
                                          *deadline, kOrderTimeout);
  } catch (const std::exception& failure) {
    LogFailedCall(order.worker, failure);
    reply = order_reply{};
  }
  if (stopped_) co_return reply;
  state_.SetStartInFlight(order.task, order.run, false);
  if (reply.clock) state_.HandleGrantReply(order.worker, *deadline, *reply.clock, BootNow());
  if (reply.outcome == order_outcome::kNoReply) {
    state_.MarkStartUnanswered(order.worker, order.task, order.run, BootNow());
    state_.HandleUnansweredGrant(order.worker, incarnation, sent_at);
  }
  HandleReply(order.worker, reply);
  co_return reply;
}

asio::awaitable<void> pool_owner::SendStart(worker_order order) {
  const boot_time begin = BootNow();
  const worker_entry* worker = state_.FindWorker(order.worker);
  // The worker may have given notice or stopped replying while the start was being stored.
  if (worker == nullptr || !MayOrder() || worker->registration.draining || !worker->reachable ||
      worker->lease_withheld) {
    state_.HandleStartReply(order.task, order.run, start_reply::kRefused, BootNow());
    co_return;
  }
  std::optional<worker_time> deadline;
  // Time of the latest attempt without a reply; zero if there was none.
  boot_time unanswered_at{};
  ApplyEvacuations();
  while (!stopped_ && state_.IsOrderDue(order)) {
    order_reply reply;
    reply.outcome = order_outcome::kNotSent;
    // An attempt is repeated only after a reply to a later call: the worker may restart meanwhile.
    const bool is_confirmed = co_await ConfirmIncarnation(order.worker, unanswered_at);
    if (stopped_) co_return;
    // Gives up this start if its worker has been evacuated meanwhile.
    ApplyEvacuations();
    if (!state_.IsOrderDue(order)) co_return;
    if (is_confirmed) reply = co_await TryStart(order, deadline);
    if (stopped_) co_return;
    if (reply.outcome == order_outcome::kIncarnationMismatch) {
      state_.HandleIncarnationMismatch(order.worker);
      Wake();
      co_return;
    }
    if (reply.outcome == order_outcome::kNoReply) unanswered_at = BootNow();
    const bool is_unanswered = unanswered_at != boot_time{};
    const bool is_open = reply.outcome == order_outcome::kNoReply || reply.outcome == order_outcome::kNotSent;
    if (!is_open) {
      const bool refused = reply.outcome != order_outcome::kDone;
      if (refused) {
        parts_.log->Write("scheduler", "start answer",
                          {{"task", order.task},
                           {"run", std::to_string(order.run)},
                           {"worker", order.worker},
                           {"outcome", std::string(OrderOutcomeName(reply.outcome))},
                           {"reason", reply.reason}});
      }
      // An earlier attempt without a reply may still be executed, so only a stop settles the run.
      const start_reply result = !refused                                     ? start_reply::kAccepted
                                 : is_unanswered                              ? start_reply::kNoReply
                                 : reply.outcome == order_outcome::kUnhealthy ? start_reply::kWorkerUnhealthy
                                                                              : start_reply::kRefused;
      state_.HandleStartReply(order.task, order.run, result, BootNow());
      Wake();
      co_return;
    }
    const milliseconds limit = is_unanswered ? state_.settings().gang_timeout
                                             : std::min(kUnsentStartTimeout, state_.settings().gang_timeout);
    // An evacuation that arrived during the attempt has left the decision to its reply.
    if (BootNow() - begin >= limit || state_.IsEvacuated(order.worker)) {
      state_.HandleStartReply(order.task, order.run,
                              is_unanswered ? start_reply::kNoReply : start_reply::kRefused, BootNow());
      Wake();
      co_return;
    }
    co_await transport::Sleep(kOrderRetryPause);
  }
}

asio::awaitable<void> pool_owner::SendStop(worker_order order) {
  while (!stopped_ && state_.IsOrderDue(order)) {
    const worker_entry* worker = state_.FindWorker(order.worker);
    if (worker == nullptr) co_return;
    if (!MayOrder()) {
      co_await transport::Sleep(kOrderRetryPause);
      continue;
    }
    const order_address address = AddressOf(*worker);
    order_reply reply;
    try {
      reply = co_await parts_.orders->Stop(address, order.task, order.run, kOrderTimeout);
    } catch (const std::exception& failure) {
      LogFailedCall(order.worker, failure);
    }
    if (stopped_) co_return;
    HandleReply(order.worker, reply);
    if (stopped_) co_return;
    if (reply.outcome == order_outcome::kDone) {
      state_.HandleStopReply(order.worker, order.task, order.run);
      co_return;
    }
    co_await transport::Sleep(kUnreachablePause);
  }
}

}  // namespace hickorystall::coordination::pool
