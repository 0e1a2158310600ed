// Failures that played days and hunts showed in the pool's tables, each as a few steps.
#include "state/pool/pool_state.h"

#include <catch2/catch.hpp>

#include "state/pool/pool_fixture.h"

namespace hickorystall::tests {

using namespace state::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kJob[] = "00000000000000aa";

std::string Task(int index) { return TaskName(kJob, 0, 0, index); }

}  // namespace

// Guards against a start beyond the allowed attempts: failed ends of one task lie on different workers, and a
// new owner reads them in any order.
TEST_CASE("failed runs count in whatever order their ends are read", "[pool]") {
  pool_fixture pool(4, 2, 2);
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  pool.state.MakeDueOccurrences(pool.now, pool.wall_now);
  for (const std::int64_t run : {4, 1, 3, 2}) {
    pool.List(pool_fixture::Worker(static_cast<int>(run) - 1), {},
              {{1, Task(0), run, end_kind::kFailed, ""}});
  }
  CHECK(pool.state.jobs().at(kJob).phase == job_phase::kFailed);
  CHECK(pool.Plan().empty());
}

// Guards against counting one attempt of a gang once for each of its members.
TEST_CASE("a gang's failed run counts once", "[pool]") {
  pool_fixture pool;
  pool.Submit(kJob, pool_fixture::Step(2, 1, true));
  pool.Accept(pool.Plan());
  const std::int64_t run = pool.state.FindUnit({kJob, 0, 0, 0})->last_run;
  const std::string worker = pool.state.FindUnit({kJob, 0, 0, 0})->members[0].worker;
  pool.List(worker, {}, {{1, Task(0), run, end_kind::kFailed, ""}, {2, Task(1), run, end_kind::kFailed, ""}});
  CHECK(pool.state.FindUnit({kJob, 0, 0, 0})->failures() == 1);
}

// Guards against two runs of one task: after a change of owner one member of a gang is listed as failed while
// the others still run for some milliseconds.
TEST_CASE("a unit does not start while a task of it runs unaccounted", "[pool]") {
  pool_fixture pool(4, 2, 2);
  pool.Submit(kJob, pool_fixture::Step(2, 2, true));
  pool.state.MakeDueOccurrences(pool.now, pool.wall_now);
  pool.List(pool_fixture::Worker(0), {{Task(1), 1, "", 50}}, {{1, Task(0), 1, end_kind::kFailed, ""}});
  for (const worker_order& order : pool.Plan()) CHECK_FALSE(order.is_start);
  pool.List(pool_fixture::Worker(0), {}, {{2, Task(1), 1, end_kind::kGangMemberLost, ""}});
  CHECK(pool.Plan().size() == 2);
}

// Guards against starting what a former owner left running on a worker that the new owner has not reached.
TEST_CASE("nothing that a former owner may have started starts before its workers are known", "[pool]") {
  pool_fixture pool(2, 2, 2);
  pool.SubmitRecorded(kJob, pool_fixture::Step(1, 1), 3, {"silent"});
  CHECK(pool.state.UnresolvedWorkers() == std::set<std::string>{"silent"});
  pool.state.AddFormerWorker("silent", "10.0.0.9:1", pool.now + seconds(6));
  CHECK(pool.Plan().empty());
  pool.state.MarkUnreachable("silent", pool.now);
  pool.Pass(seconds(7));
  // The lease is over, but the ownership was last confirmed before that.
  pool.state.ExpireLeases(pool.now, pool.now - seconds(2));
  CHECK(pool.Plan().empty());
  pool.state.ExpireLeases(pool.now, pool.now);
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  // Numbers rise across owners.
  CHECK(orders[0].run == 4);
}

// Guards against a stall after each change of owner: one worker that had left kept all jobs from starting for
// ten seconds, although no start on it was recorded for them.
TEST_CASE("a silent worker holds only what is recorded as started there", "[pool]") {
  pool_fixture pool(2, 2, 2);
  constexpr char kOther[] = "00000000000000cc";
  pool.SubmitRecorded(kJob, pool_fixture::Step(1, 1), 1, {"silent"});
  pool.SubmitRecorded(kOther, pool_fixture::Step(1, 1), 1, {pool_fixture::Worker(0)});
  pool.state.AddFormerWorker("silent", "10.0.0.9:1", pool.now + seconds(6));
  pool.state.AddFormerWorker(pool_fixture::Worker(0), "", pool.now + seconds(6));
  CHECK(pool.Plan().empty());
  pool.List(pool_fixture::Worker(0), {});
  std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].task == TaskName(kOther, 0, 0, 0));
  pool.Submit("00000000000000dd", pool_fixture::Step(1, 1));
  orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].task == TaskName("00000000000000dd", 0, 0, 0));
}

// Guards against a second run of one member of a gang: those that the new owner reached end while another
// still runs on a worker that is cut off.
TEST_CASE("a gang waits for each worker that its record names", "[pool]") {
  pool_fixture pool(2, 2, 2);
  pool.SubmitRecorded(kJob, pool_fixture::Step(2, 1, true), 1, {pool_fixture::Worker(0), "silent"});
  pool.state.AddFormerWorker("silent", "10.0.0.9:1", pool.now + seconds(6));
  pool.state.AddFormerWorker(pool_fixture::Worker(0), "", pool.now + seconds(6));
  pool.List(pool_fixture::Worker(0), {}, {{1, Task(0), 1, end_kind::kGangMemberLost, ""}});
  CHECK(pool.Plan().empty());
  pool.state.MarkUnreachable("silent", pool.now);
  pool.Pass(seconds(7));
  pool.state.ExpireLeases(pool.now, pool.now);
  CHECK(pool.Plan().size() == 2);
}

// Guards against a second run of what has ended: a worker lists at most 500 ends at a time, so a full answer
// proves nothing of the others.
TEST_CASE("a first part of the ends does not settle a worker", "[pool]") {
  pool_fixture pool(1, 1, 2);
  pool.SubmitRecorded(kJob, pool_fixture::Step(1, 1), 1, {pool_fixture::Worker(0)});
  pool.state.AddFormerWorker(pool_fixture::Worker(0), "", pool.now + seconds(6));
  std::vector<listed_end> ends;
  for (int i = 1; i <= 500; ++i) ends.push_back({i, "00000000000000ee.0.0.0", i, end_kind::kStopped, ""});
  pool.List(pool_fixture::Worker(0), {}, ends);
  CHECK(pool.Plan().empty());
  pool.List(pool_fixture::Worker(0), {}, {{501, Task(0), 1, end_kind::kDone, ""}});
  CHECK(pool.Plan().empty());
  CHECK(pool.state.jobs().at(kJob).phase == job_phase::kCompleted);
}

// Guards against stopping what has only just begun: an order that waited seconds for its record counted as a
// task without progress.
TEST_CASE("progress is awaited from the start's answer on", "[pool]") {
  pool_fixture pool(1, 1);
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  pool.Pass(seconds(4));
  pool.Accept(orders);
  pool.Pass(seconds(1));
  pool.List(orders[0].worker, {{Task(0), 1, "", 0}});
  CHECK(pool.Plan().empty());
}

// Guards against a plan on the few workers that answered a new owner first: it crowded them and stopped other
// work there.
TEST_CASE("a new owner waits for the first answer or silence of its workers", "[pool]") {
  pool_fixture pool(2, 2, 2);
  pool.state.AwaitFirstReplies();
  CHECK_FALSE(pool.state.HaveAllWorkersReplied());
  pool.List(pool_fixture::Worker(0), {});
  CHECK_FALSE(pool.state.HaveAllWorkersReplied());
  pool.state.MarkUnreachable(pool_fixture::Worker(1), pool.now);
  CHECK(pool.state.HaveAllWorkersReplied());
}

// Guards against two runs of one task, found by the soak (seed 4): a former owner that was cut off repeated
// its start on a worker that had restarted since the new owner read its lists, and so had forgotten the new
// owner's token.
TEST_CASE("a recorded start is not replaced while a former owner may repeat it", "[pool]") {
  pool_fixture pool(2, 2, 2);
  pool.SubmitRecorded(kJob, pool_fixture::Step(1, 1), 1, {pool_fixture::Worker(0)});
  pool.Submit("00000000000000dd", pool_fixture::Step(1, 1));
  pool.state.AddFormerWorker(pool_fixture::Worker(0), "", pool.now + seconds(6));
  pool.state.HoldRecordedStarts(pool.now + seconds(3));
  pool.List(pool_fixture::Worker(0), {});
  CHECK(pool.Plan().size() == 1);
  pool.Pass(seconds(3));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].task == Task(0));
}

// Guards against two runs of one task, found by the soak (seed 14): the worker had restarted under its id
// before the start reached it, so the new life ran what the owner took for lost with the former one.
TEST_CASE("runs are stopped on a worker's next life before they start elsewhere", "[pool]") {
  pool_fixture pool(2, 2);
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  const bool is_answered = GENERATE(false, true);
  if (is_answered) pool.Accept(orders);
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

// Guards against waiting out the lease of a worker that is known to have ended: its place answers as another
// one.
TEST_CASE("another life at a worker's address ends what ran there", "[pool]") {
  pool_fixture pool(2, 2);
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  pool.state.GrantLease(orders[0].worker, pool.now);
  pool.Accept(orders);
  pool.state.HandleIncarnationMismatch(orders[0].worker);
  const std::vector<worker_order> again = pool.Plan();
  REQUIRE(again.size() == 1);
  CHECK(again[0].worker != orders[0].worker);
  CHECK(again[0].run == 2);
}

// Guards against two runs of one task on a worker that is cut off and runs on.
TEST_CASE("the run on a silent worker is given up only after its lease", "[pool]") {
  pool_fixture pool;
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  pool.state.GrantLease(orders[0].worker, pool.now);
  pool.Accept(orders);
  pool.state.MarkUnreachable(orders[0].worker, pool.now);
  pool.Pass(milliseconds(6200));
  pool.state.ExpireLeases(pool.now, pool.now);
  CHECK(pool.Plan().empty());
  pool.Pass(milliseconds(300));
  pool.state.ExpireLeases(pool.now, pool.now);
  const std::vector<worker_order> again = pool.Plan();
  REQUIRE(again.size() == 1);
  CHECK(again[0].worker != orders[0].worker);
  CHECK(again[0].run > orders[0].run);
}

// Guards against a second run beside an order that is carried out seconds late: only the stop settles it.
TEST_CASE("a start without an answer holds its task until a stop has settled it", "[pool]") {
  pool_fixture pool;
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  pool.state.HandleStartReply(orders[0].task, orders[0].run, start_reply::kNoReply, pool.now);
  const std::vector<worker_order> stop = pool.Plan();
  REQUIRE(stop.size() == 1);
  CHECK_FALSE(stop[0].is_start);
  pool.List(orders[0].worker, {});
  CHECK(pool.Plan().empty());
  pool.state.HandleStopReply(orders[0].worker, orders[0].task, orders[0].run);
  pool.List(orders[0].worker, {});
  CHECK(pool.Plan().size() == 1);
}

// Guards against lists that were asked for before the start was answered.
TEST_CASE("an older list does not end a run that it could not show", "[pool]") {
  pool_fixture pool;
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  const std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  const std::int64_t asked = pool.state.NextCallNumber();
  pool.Accept(orders);
  worker_lists lists;
  lists.incarnation = 5;
  pool.state.ApplyWorkerLists(orders[0].worker, lists, asked, pool.now);
  CHECK_FALSE(pool.state.FindUnit({kJob, 0, 0, 0})->IsIdle());
}

}  // namespace hickorystall::tests
