// Tests of the state of the pool, mainly around lost replies, restarted workers and changes of owner.
#include "state/pool/pool_state.h"

#include <catch2/catch.hpp>
#include <tuple>

#include "state/pool/pool_fixture.h"

namespace hickorystall::tests {

using namespace state::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kJob[] = "00000000000000aa";

std::string Task(int index) { return TaskName(kJob, 0, 0, index); }

}  // namespace

// Guards against exceeding the allowed attempts: failed runs of one task are listed by different workers,
// which a new owner reads in any order.
TEST_CASE("failed runs are counted in whatever order their ends are read", "[pool]") {
  pool_fixture pool(4, 2, 2);
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  pool.state.MakeDueOccurrences(pool.now, pool.wall_now);
  for (const std::int64_t run : {4, 1, 3, 2}) {
    pool.ApplyLists(pool_fixture::Worker(static_cast<int>(run) - 1), {},
                    {{1, Task(0), run, end_kind::kFailed, ""}});
  }
  CHECK(pool.state.jobs().at(kJob).phase == job_phase::kFailed);
  CHECK(pool.Plan().empty());
}

// Guards against counting one failed attempt of a gang once per member.
TEST_CASE("a failed run of a gang is counted once", "[pool]") {
  pool_fixture pool;
  pool.Submit(kJob, pool_fixture::Step(2, 1, true));
  pool.Accept(pool.Plan());
  const std::int64_t run = pool.state.FindUnit({kJob, 0, 0, 0})->last_run;
  const std::string worker = pool.state.FindUnit({kJob, 0, 0, 0})->members[0].worker;
  pool.ApplyLists(worker, {},
                  {{1, Task(0), run, end_kind::kFailed, ""}, {2, Task(1), run, end_kind::kFailed, ""}});
  CHECK(pool.state.FindUnit({kJob, 0, 0, 0})->failures() == 1);
}

// Guards against two runs of one task: after a change of owner, one member of a gang is listed as failed
// while the others still run for some milliseconds.
TEST_CASE("a unit does not start while one of its tasks has an unaccounted run", "[pool]") {
  pool_fixture pool(4, 2, 2);
  pool.Submit(kJob, pool_fixture::Step(2, 2, true));
  pool.state.MakeDueOccurrences(pool.now, pool.wall_now);
  pool.ApplyLists(pool_fixture::Worker(0), {{Task(1), 1, "", 50}}, {{1, Task(0), 1, end_kind::kFailed, ""}});
  for (const worker_order& order : pool.Plan()) CHECK_FALSE(order.is_start);
  pool.ApplyLists(pool_fixture::Worker(0), {}, {{2, Task(1), 1, end_kind::kGangMemberLost, ""}});
  CHECK(pool.Plan().size() == 2);
}

// Guards against a second run of a unit that an earlier owner left running on a worker that the new owner has
// not reached yet.
TEST_CASE("a unit that an earlier owner may have started waits until its workers are resolved", "[pool]") {
  pool_fixture pool(2, 2, 2);
  pool.SubmitRecorded(kJob, pool_fixture::Step(1, 1), 3, {"silent"});
  CHECK(pool.state.UnresolvedWorkers() == std::set<std::string>{"silent"});
  pool.state.AddRecordedWorker("silent", "10.0.0.9:1", pool.now + seconds(6));
  CHECK(pool.Plan().empty());
  pool.state.MarkUnreachable("silent", "no reply", pool.now);
  pool.AdvanceTime(seconds(7));
  // The lease has expired, but the ownership was last confirmed before that.
  pool.state.ExpireLeases(pool.now, pool.now - seconds(2));
  CHECK(pool.Plan().empty());
  pool.state.ExpireLeases(pool.now, pool.now);
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  // Run numbers increase across owners.
  CHECK(orders[0].run == 4);
}

// Guards against a stall after a change of owner: one worker that had left kept all jobs from starting for
// ten seconds, although no start on it was recorded for them.
TEST_CASE("an unreachable worker blocks only units that are recorded as started on it", "[pool]") {
  pool_fixture pool(2, 2, 2);
  constexpr char kOtherJob[] = "00000000000000cc";
  pool.SubmitRecorded(kJob, pool_fixture::Step(1, 1), 1, {"silent"});
  pool.SubmitRecorded(kOtherJob, pool_fixture::Step(1, 1), 1, {pool_fixture::Worker(0)});
  pool.state.AddRecordedWorker("silent", "10.0.0.9:1", pool.now + seconds(6));
  pool.state.AddRecordedWorker(pool_fixture::Worker(0), "", pool.now + seconds(6));
  CHECK(pool.Plan().empty());
  pool.ApplyLists(pool_fixture::Worker(0), {});
  std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].task == TaskName(kOtherJob, 0, 0, 0));
  pool.Submit("00000000000000dd", pool_fixture::Step(1, 1));
  orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].task == TaskName("00000000000000dd", 0, 0, 0));
}

// Guards against a second run of a gang member: the members that the new owner can reach have ended, while
// another still runs on a worker that is unreachable.
TEST_CASE("a gang waits for every worker that its record names", "[pool]") {
  pool_fixture pool(2, 2, 2);
  pool.SubmitRecorded(kJob, pool_fixture::Step(2, 1, true), 1, {pool_fixture::Worker(0), "silent"});
  pool.state.AddRecordedWorker("silent", "10.0.0.9:1", pool.now + seconds(6));
  pool.state.AddRecordedWorker(pool_fixture::Worker(0), "", pool.now + seconds(6));
  pool.ApplyLists(pool_fixture::Worker(0), {}, {{1, Task(0), 1, end_kind::kGangMemberLost, ""}});
  CHECK(pool.Plan().empty());
  pool.state.MarkUnreachable("silent", "no reply", pool.now);
  pool.AdvanceTime(seconds(7));
  pool.state.ExpireLeases(pool.now, pool.now);
  CHECK(pool.Plan().size() == 2);
}

// Guards against a second run of a unit that has ended: a worker lists at most 500 ends at a time, so a full
// list shows nothing about further ends.
TEST_CASE("an incomplete list of ends does not resolve a worker", "[pool]") {
  pool_fixture pool(1, 1, 2);
  pool.SubmitRecorded(kJob, pool_fixture::Step(1, 1), 1, {pool_fixture::Worker(0)});
  pool.state.AddRecordedWorker(pool_fixture::Worker(0), "", pool.now + seconds(6));
  std::vector<listed_end> ends;
  for (int i = 1; i <= 500; ++i) ends.push_back({i, "00000000000000ee.0.0.0", i, end_kind::kStopped, ""});
  pool.ApplyLists(pool_fixture::Worker(0), {}, ends);
  CHECK(pool.Plan().empty());
  pool.ApplyLists(pool_fixture::Worker(0), {}, {{501, Task(0), 1, end_kind::kDone, ""}});
  CHECK(pool.Plan().empty());
  CHECK(pool.state.jobs().at(kJob).phase == job_phase::kCompleted);
}

// Guards against stopping a run that has only just begun: an order that waited seconds for its start to be
// stored was treated as stalled.
TEST_CASE("the stall timeout begins when the start is confirmed", "[pool]") {
  pool_fixture pool(1, 1);
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  pool.AdvanceTime(seconds(4));
  pool.Accept(orders);
  pool.AdvanceTime(seconds(1));
  pool.ApplyLists(orders[0].worker, {{Task(0), 1, "", 0}});
  CHECK(pool.Plan().empty());
}

// Guards against planning with only the few workers that replied to a new owner first: they were overloaded,
// and other work on them was stopped.
TEST_CASE("a new owner waits until each worker has replied or is unreachable", "[pool]") {
  pool_fixture pool(2, 2, 2);
  pool.state.AwaitFirstReplies();
  CHECK_FALSE(pool.state.HaveAllWorkersReplied());
  pool.ApplyLists(pool_fixture::Worker(0), {});
  CHECK_FALSE(pool.state.HaveAllWorkersReplied());
  pool.state.MarkUnreachable(pool_fixture::Worker(1), "no reply", pool.now);
  CHECK(pool.state.HaveAllWorkersReplied());
}

// Guards against two runs of one task (soak seed 4): an earlier owner that was cut off repeated its start on
// a worker that had restarted since the new owner read its lists, and so had lost the new owner's fencing
// token.
TEST_CASE("a recorded start is not replaced while an earlier owner may repeat it", "[pool]") {
  pool_fixture pool(2, 2, 2);
  pool.SubmitRecorded(kJob, pool_fixture::Step(1, 1), 1, {pool_fixture::Worker(0)});
  pool.Submit("00000000000000dd", pool_fixture::Step(1, 1));
  pool.state.AddRecordedWorker(pool_fixture::Worker(0), "", pool.now + seconds(6));
  pool.state.HoldRecordedStarts(pool.now + seconds(3));
  pool.ApplyLists(pool_fixture::Worker(0), {});
  CHECK(pool.Plan().size() == 1);
  pool.AdvanceTime(seconds(3));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].task == Task(0));
}

// Guards against two runs of one task (soak seed 14): the worker had restarted under the same id before the
// start reached it, so the new incarnation ran what the owner considered lost with the earlier one.
TEST_CASE("runs are stopped on a restarted worker before they start elsewhere", "[pool]") {
  pool_fixture pool(2, 2);
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  const bool is_confirmed = GENERATE(false, true);
  if (is_confirmed) pool.Accept(orders);
  worker_lists lists;
  lists.incarnation = 6;
  pool.state.ApplyWorkerLists(orders[0].worker, lists, pool.state.NextCallNumber(), pool.now);
  const std::vector<worker_order> stop = pool.Plan();
  REQUIRE(stop.size() == 1);
  CHECK_FALSE(stop[0].is_start);
  pool.state.HandleStopReply(orders[0].worker, orders[0].task, orders[0].run);
  pool.state.ApplyWorkerLists(orders[0].worker, lists, pool.state.NextCallNumber(), pool.now);
  CHECK(pool.Plan().size() == 1);
}

// Guards against waiting for the lease of a worker that is known to have ended, because another incarnation
// replies at its address.
TEST_CASE("another incarnation at a worker's address ends the runs of the earlier one", "[pool]") {
  pool_fixture pool(2, 2);
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  pool.state.GrantLease(orders[0].worker, pool.now);
  pool.Accept(orders);
  pool.state.HandleIncarnationMismatch(orders[0].worker);
  const std::vector<worker_order> replacement = pool.Plan();
  REQUIRE(replacement.size() == 1);
  CHECK(replacement[0].worker != orders[0].worker);
  CHECK(replacement[0].run == 2);
}

// Guards against two runs of one task: a worker that is cut off continues to run it until its lease expires.
TEST_CASE("a run on an unreachable worker is lost only after its lease has expired", "[pool]") {
  pool_fixture pool;
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  pool.state.GrantLease(orders[0].worker, pool.now);
  pool.Accept(orders);
  pool.state.MarkUnreachable(orders[0].worker, "no reply", pool.now);
  pool.AdvanceTime(milliseconds(6200));
  pool.state.ExpireLeases(pool.now, pool.now);
  CHECK(pool.Plan().empty());
  pool.AdvanceTime(milliseconds(300));
  pool.state.ExpireLeases(pool.now, pool.now);
  const std::vector<worker_order> replacement = pool.Plan();
  REQUIRE(replacement.size() == 1);
  CHECK(replacement[0].worker != orders[0].worker);
  CHECK(replacement[0].run > orders[0].run);
}

// Load: workers crash while urgent work runs on them. Guards against waiting for the lease of a process that
// is known to have ended, and against a second run where a late start may reach its next incarnation.
TEST_CASE("the end of a worker's process releases the runs that cannot start late", "[pool]") {
  const bool may_start_late = GENERATE(false, true);
  pool_fixture pool(2, 2);
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  pool.state.GrantLease(orders[0].worker, pool.now);
  if (may_start_late) {
    pool.state.MarkStartUnanswered(orders[0].worker, orders[0].task, orders[0].run, pool.now);
  }
  pool.Accept(orders);
  pool.state.MarkUnreachable(orders[0].worker, "closed", pool.now);
  pool.state.HandleProcessEnd(orders[0].worker);
  const std::vector<worker_order> replacement = pool.Plan();
  REQUIRE(replacement.size() == (may_start_late ? 0 : 1));
  if (may_start_late) return;
  CHECK(replacement[0].worker != orders[0].worker);
  CHECK(replacement[0].run == 2);
}

// Guards against a count of waiting jobs that leaves out a job none of whose tasks has begun (review/4): it
// was counted as running from the first ordered start on, however often its starts were refused.
TEST_CASE("a job is queued until one of its tasks has begun", "[pool]") {
  pool_fixture pool(2, 2);
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const auto phase = [&pool] { return pool.state.jobs().at(kJob).phase; };
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(phase() == job_phase::kQueued);
  const auto& [task, run, worker] = std::tie(orders[0].task, orders[0].run, orders[0].worker);
  SECTION("and its start was refused") {
    pool.state.HandleStartReply(task, run, start_reply::kWorkerUnhealthy, pool.now);
    CHECK(phase() == job_phase::kQueued);
  }
  SECTION("and its start has no reply") {
    pool.state.HandleStartReply(task, run, start_reply::kNoReply, pool.now);
    CHECK(phase() == job_phase::kQueued);
    pool.ApplyLists(worker, {});
    CHECK(phase() == job_phase::kQueued);
  }
  SECTION("which a reply shows") {
    pool.Accept(orders);
    CHECK(phase() == job_phase::kRunning);
  }
  SECTION("which the list of runs shows") {
    pool.ApplyLists(worker, {{task, run, "", 0}});
    CHECK(phase() == job_phase::kRunning);
  }
  SECTION("which the list of ends shows") {
    pool.ApplyLists(worker, {}, {{1, task, run, end_kind::kFailed, ""}});
    CHECK(phase() == job_phase::kRunning);
  }
}

// Guards against a second run next to a start that is executed seconds late. Only a confirmed stop rules that
// out.
TEST_CASE("a start without a reply blocks its unit until a stop is confirmed", "[pool]") {
  pool_fixture pool;
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  pool.state.HandleStartReply(orders[0].task, orders[0].run, start_reply::kNoReply, pool.now);
  const std::vector<worker_order> stop = pool.Plan();
  REQUIRE(stop.size() == 1);
  CHECK_FALSE(stop[0].is_start);
  pool.ApplyLists(orders[0].worker, {});
  CHECK(pool.Plan().empty());
  pool.state.HandleStopReply(orders[0].worker, orders[0].task, orders[0].run);
  pool.ApplyLists(orders[0].worker, {});
  CHECK(pool.Plan().size() == 1);
}

// Guards against lists that were requested before the start was confirmed, and so could not show the run.
TEST_CASE("a list requested before a start was confirmed does not end the run", "[pool]") {
  pool_fixture pool;
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  const std::int64_t call_number = pool.state.NextCallNumber();
  pool.Accept(orders);
  worker_lists lists;
  lists.incarnation = 5;
  pool.state.ApplyWorkerLists(orders[0].worker, lists, call_number, pool.now);
  CHECK_FALSE(pool.state.FindUnit({kJob, 0, 0, 0})->IsIdle());
}

}  // namespace hickorystall::tests
