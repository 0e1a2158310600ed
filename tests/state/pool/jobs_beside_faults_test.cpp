// Tests that accepted jobs don't stand still beside free capacity. The pool soak found each of these cases:
// avoided workers (pool-soak --default-times --poison --first-seed 202, and --first-seed 24 with refused
// starts), and a wait for a near worker (--first-seed 5).
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "state/pool/pool_fixture.h"

namespace hickorystall::tests {

using namespace state::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

// The rule LOST allows a job to stand still for 3 s beside free capacity.
constexpr milliseconds kStallBound{3000};
constexpr milliseconds kStep{100};

// Lists each started run as failed, in the order of `orders`. `numbers` holds the last end of each worker.
void FailAll(pool_fixture& pool, const std::vector<worker_order>& orders,
             std::map<std::string, std::int64_t>& numbers) {
  std::map<std::string, std::vector<listed_end>> ends;
  for (const worker_order& order : orders) {
    ends[order.worker].push_back({++numbers[order.worker], order.task, order.run, end_kind::kFailed, ""});
  }
  for (const auto& [worker, finished] : ends) {
    pool.ApplyLists(worker, {}, finished);
    pool.state.FindWorker(worker)->acknowledged_end = numbers[worker];
  }
}

bool Starts(const std::vector<worker_order>& orders, const std::string& job) {
  for (const worker_order& order : orders) {
    if (order.is_start && order.task.starts_with(job + ".")) return true;
  }
  return false;
}

}  // namespace

// Guards against an idle pool that is avoided as a whole because of one job that always fails.
TEST_CASE("a job starts although tasks of another job have failed on all workers", "[pool]") {
  pool_fixture pool;
  std::map<std::string, std::int64_t> numbers;
  pool.Submit("poison", pool_fixture::Step(16, 1));
  // Each round takes two of the four workers.
  for (int round = 0; round < 2; ++round) {
    const std::vector<worker_order> orders = pool.Plan();
    REQUIRE(orders.size() == 16);
    pool.Accept(orders);
    pool.AdvanceTime(kStep);
    FailAll(pool, orders, numbers);
  }
  pool.Submit("job", pool_fixture::Step(1, 1));
  bool has_started = false;
  for (milliseconds waited{0}; waited <= kStallBound && !has_started; waited += kStep) {
    has_started = Starts(pool.Plan(), "job");
    pool.AdvanceTime(kStep);
  }
  CHECK(has_started);
}

// Guards against a wait for room in one rack while the other racks are empty.
TEST_CASE("a job starts elsewhere although the rack of its data is full", "[pool]") {
  pool_fixture pool(6, 2);
  step_request step = pool_fixture::Step(16, 1);
  step.data_rack = "rack-0";
  step.estimate = milliseconds(11'000);
  pool.Submit("filler", step);
  pool.Accept(pool.Plan());
  pool.Submit("job", step);
  bool has_started = false;
  for (milliseconds waited{0}; waited <= kStallBound && !has_started; waited += kStep) {
    has_started = Starts(pool.Plan(), "job");
    pool.AdvanceTime(kStep);
  }
  CHECK(has_started);
}

// Guards against stopping a whole gang because of one refused member.
TEST_CASE("a gang starts although each fifth start is refused by an unhealthy worker", "[pool][!mayfail]") {
  pool_fixture pool;
  pool.Submit("gang", pool_fixture::Step(8, 1, true));
  int starts = 0;
  bool is_whole = false;
  for (milliseconds waited{0}; waited <= 10 * kStallBound && !is_whole; waited += kStep) {
    std::map<std::string, std::vector<listed_run>> running;
    for (const worker_order& order : pool.Plan()) {
      running[order.worker];
      if (!order.is_start) {
        pool.state.HandleStopReply(order.worker, order.task, order.run);
        continue;
      }
      const bool is_refused = ++starts % 5 == 0;
      pool.state.HandleStartReply(order.task, order.run,
                                  is_refused ? start_reply::kWorkerUnhealthy : start_reply::kAccepted,
                                  pool.now);
    }
    const work_unit& unit = pool.state.jobs().at("gang").occurrences.at(0).steps[0].units[0];
    is_whole = std::all_of(unit.members.begin(), unit.members.end(),
                           [](const unit_member& member) { return member.phase == run_phase::kRunning; });
    pool.AdvanceTime(kStep);
    // Stopped runs are no longer listed.
    if (!is_whole) {
      for (const auto& [worker, runs] : running) pool.ApplyLists(worker, runs);
    }
  }
  CHECK(is_whole);
}

}  // namespace hickorystall::tests
