// Tests of the reasons that are reported for jobs without a running task.
#include "state/pool/wait_monitor.h"

#include <catch2/catch.hpp>

#include "state/pool/pool_fixture.h"

namespace hickorystall::tests {

using namespace state::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kJob[] = "00000000000000aa";
constexpr char kOtherJob[] = "00000000000000bb";

// Makes a plan, lets `time` pass, and returns the jobs that are reported then.
std::vector<waiting_job> ReportAfter(pool_fixture& pool, wait_monitor& monitor, milliseconds time) {
  monitor.Update(pool.state, nullptr, pool.now, 10);
  pool.AdvanceTime(time);
  const pool_plan plan = PlanPool(pool.state, pool.now, pool.wall_now);
  return monitor.Update(pool.state, &plan.unplaced, pool.now, 10);
}

}  // namespace

// Guards against logs that do not tell why an accepted job is not started.
TEST_CASE("a job that waits is reported with its cause", "[pool]") {
  wait_monitor monitor;
  SECTION("no worker has room") {
    pool_fixture pool(1, 1);
    pool.Submit(kJob, pool_fixture::Step(1, 8));
    pool.Accept(pool.Plan());
    pool.Submit(kOtherJob, pool_fixture::Step(1, 8));
    pool.state.MakeDueOccurrences(pool.now, pool.wall_now);
    const auto jobs = ReportAfter(pool, monitor, seconds(3));
    REQUIRE(jobs.size() == 1);
    CHECK(jobs[0].id == kOtherJob);
    CHECK(jobs[0].cause == wait_cause::kNoCapacity);
    CHECK(jobs[0].waited == seconds(3));
  }
  SECTION("the runs on a recorded worker are unknown") {
    pool_fixture pool(1, 1);
    pool.SubmitRecorded(kJob, pool_fixture::Step(1, 8), 1, {"gone"});
    const auto jobs = ReportAfter(pool, monitor, seconds(3));
    REQUIRE(jobs.size() == 1);
    CHECK(jobs[0].cause == wait_cause::kUnresolvedWorker);
    CHECK(jobs[0].worker == "gone");
  }
  SECTION("the start is not confirmed") {
    pool_fixture pool(1, 1);
    pool.Submit(kJob, pool_fixture::Step(1, 8));
    pool.Plan();
    const auto jobs = ReportAfter(pool, monitor, seconds(3));
    REQUIRE(jobs.size() == 1);
    CHECK(jobs[0].cause == wait_cause::kStartUnconfirmed);
    CHECK(jobs[0].worker == pool_fixture::Worker(0));
  }
  SECTION("nothing is planned") {
    pool_fixture pool(1, 1);
    pool.Submit(kJob, pool_fixture::Step(1, 8));
    pool.state.MakeDueOccurrences(pool.now, pool.wall_now);
    monitor.Update(pool.state, nullptr, pool.now, 10);
    pool.AdvanceTime(seconds(3));
    const auto jobs = monitor.Update(pool.state, nullptr, pool.now, 10);
    REQUIRE(jobs.size() == 1);
    CHECK(jobs[0].cause == wait_cause::kPlanningPaused);
  }
}

// Guards against a log that is flooded while many jobs wait.
TEST_CASE("reports of waiting jobs are bounded and repeated at intervals", "[pool]") {
  pool_fixture pool(1, 1);
  wait_monitor monitor;
  for (int i = 10; i < 30; ++i) pool.Submit("00000000000000" + std::to_string(i), pool_fixture::Step(1, 8));
  pool.state.MakeDueOccurrences(pool.now, pool.wall_now);
  monitor.Update(pool.state, nullptr, pool.now, 5);
  pool.AdvanceTime(seconds(3));
  CHECK(monitor.Update(pool.state, nullptr, pool.now, 5).size() == 5);
  CHECK(monitor.jobs_by_cause()[static_cast<std::size_t>(wait_cause::kPlanningPaused)] == 20);
  CHECK(monitor.Update(pool.state, nullptr, pool.now, 20).size() == 15);
  CHECK(monitor.Update(pool.state, nullptr, pool.now, 20).empty());
  pool.AdvanceTime(seconds(4));
  CHECK(monitor.Update(pool.state, nullptr, pool.now, 20).size() == 20);
}

}  // namespace hickorystall::tests
