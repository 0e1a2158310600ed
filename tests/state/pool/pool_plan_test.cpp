// Tests of planning: what is started, stopped and preempted under which load.
#include "state/pool/pool_plan.h"

#include <catch2/catch.hpp>
#include <set>

#include "state/pool/pool_fixture.h"

namespace hickorystall::tests {

using namespace state::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kJob[] = "00000000000000aa";
constexpr char kUrgentJob[] = "00000000000000bb";

std::string Task(int index) { return TaskName(kJob, 0, 0, index); }

int CountStops(const std::vector<worker_order>& orders) {
  int stops = 0;
  for (const worker_order& order : orders) stops += order.is_start ? 0 : 1;
  return stops;
}

}  // namespace

// Guards against stopping a gang as stalled because its fastest member waits for the others: all of its work
// was lost each time.
TEST_CASE("a gang member at 100 percent is not stalled", "[pool]") {
  pool_fixture pool(2, 2);
  pool.Submit(kJob, pool_fixture::Step(2, 8, true));
  pool.Accept(pool.Plan());
  const work_unit& unit = *pool.state.FindUnit({kJob, 0, 0, 0});
  for (int percent = 10; percent <= 90; percent += 10) {
    pool.AdvanceTime(seconds(1));
    pool.ApplyLists(unit.members[0].worker, {{Task(0), unit.last_run, "", 100}});
    pool.ApplyLists(unit.members[1].worker, {{Task(1), unit.last_run, "", percent}});
    CHECK(CountStops(pool.Plan()) == 0);
  }
}

// Guards against leaving a task that makes no progress on its worker because the worker still replies.
TEST_CASE("a stalled task is stopped", "[pool]") {
  pool_fixture pool(2, 2);
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  pool.Accept(pool.Plan());
  const work_unit& unit = *pool.state.FindUnit({kJob, 0, 0, 0});
  int stops = 0;
  for (int second = 0; second < 5; ++second) {
    pool.AdvanceTime(seconds(1));
    pool.ApplyLists(unit.members[0].worker, {{Task(0), unit.last_run, "", 20}});
    stops += CountStops(pool.Plan());
  }
  CHECK(stops == 1);
}

// Guards against stopping victims whose capacity does not help the preempting unit.
TEST_CASE("preemption spares victims that are not needed", "[pool]") {
  pool_fixture pool(1, 1);
  pool.Submit("0000000000000001", pool_fixture::Step(1, 7), 2);
  pool.Accept(pool.Plan());
  // The small task starts later, so stopping it loses less work: it is the cheaper victim.
  pool.AdvanceTime(milliseconds(500));
  pool.Submit("0000000000000002", pool_fixture::Step(1, 1), 2);
  pool.Accept(pool.Plan());
  pool.Submit(kUrgentJob, pool_fixture::Step(1, 7), 0);
  std::set<std::string> stopped;
  for (int i = 0; i < 20; ++i) {
    pool.AdvanceTime(milliseconds(100));
    for (const worker_order& order : pool.Plan()) {
      if (!order.is_start) stopped.insert(order.task.substr(0, 16));
    }
  }
  CHECK(stopped == std::set<std::string>{"0000000000000001"});
}

// Load: a stream of urgent tasks beside two patient jobs of the same kind. Guards against stopping the same
// job for each of them while the other one is spared.
TEST_CASE("preemption does not choose the same job each time", "[pool]") {
  pool_fixture pool(2, 2);
  pool.Submit("0000000000000001", pool_fixture::Step(1, 8), 2);
  pool.Submit("0000000000000002", pool_fixture::Step(1, 8), 2);
  pool.Accept(pool.Plan());
  pool.AdvanceTime(milliseconds(1000));
  pool.state.CountPreemption({"0000000000000001", 0, 0, 0});
  pool.Submit(kUrgentJob, pool_fixture::Step(1, 8), 0);
  std::vector<worker_order> stops = pool.Plan();
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].task.substr(0, 16) == "0000000000000002");
}

// Guards against choosing a victim that loses all of its work over one that resumes from its checkpoint.
TEST_CASE("preemption prefers units that save their progress", "[pool]") {
  pool_fixture pool(2, 2);
  step_request resumable = pool_fixture::Step(1, 8);
  resumable.checkpointable = true;
  pool.Submit("0000000000000001", resumable, 2);
  pool.Accept(pool.Plan());
  pool.AdvanceTime(seconds(4));
  pool.Submit("0000000000000002", pool_fixture::Step(1, 8), 2);
  pool.Accept(pool.Plan());
  pool.AdvanceTime(seconds(2));
  pool.Submit(kUrgentJob, pool_fixture::Step(1, 8), 0);
  std::vector<worker_order> stops = pool.Plan();
  REQUIRE(stops.size() == 1);
  CHECK(stops[0].task.substr(0, 16) == "0000000000000001");
}

// Load: some workers start everything and then stand still. Guards against placing the next task, and the
// stopped one, on the same worker again.
TEST_CASE("a worker on which a task stalled is avoided for some time", "[pool]") {
  pool_fixture pool(2, 2);
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  pool.Accept(pool.Plan());
  const std::string stalled_on = pool.state.FindUnit({kJob, 0, 0, 0})->members[0].worker;
  for (int second = 0; second < 5; ++second) {
    pool.AdvanceTime(seconds(1));
    pool.ApplyLists(stalled_on, {{Task(0), 1, "", 20}});
    pool.Plan();
  }
  pool.Submit(kUrgentJob, pool_fixture::Step(1, 1), 1);
  std::vector<worker_order> orders = pool.Plan();
  REQUIRE(orders.size() == 1);
  CHECK(orders[0].worker != stalled_on);
  pool.AdvanceTime(pool.state.settings().max_avoid_time);
  CHECK(pool.state.workers().at(stalled_on).IsUsable(pool.now));
}

// Load: patient single tasks arrive beside gangs that need one rack. Guards against placing them on the
// fullest worker wherever it is, which leaves no rack with room for the gang.
TEST_CASE("single tasks fill the fullest rack first", "[pool]") {
  pool_fixture pool(4, 2);
  // Leaves 0 and 5 accelerators free in the first rack, 2 and 8 in the second.
  int id = 0;
  for (const int accelerators : {8, 3, 6, 1}) {
    pool.Submit("000000000000000" + std::to_string(id++), pool_fixture::Step(1, accelerators), 2);
    pool.Accept(pool.Plan());
  }
  step_request gang = pool_fixture::Step(5, 2, true);
  gang.same_rack = true;
  pool.Submit(kJob, gang, 1);
  CHECK(pool.Plan().size() == 5);
}

// Guards against jobs of priority 0 having to preempt a burst of lower priority that arrived just before
// them. Without the headroom each of them would need one stop.
TEST_CASE("lower priorities leave headroom for priority 0 while they have slack", "[pool]") {
  pool_fixture pool(8, 4, 1, 0.35);
  pool.Submit(kJob, pool_fixture::Step(64, 1), 2);
  pool.Accept(pool.Plan());
  int stops = 0;
  int starts = 0;
  for (int i = 0; i < 2; ++i) {
    pool.Submit("00000000000000b" + std::to_string(i), pool_fixture::Step(1, 8), 0);
    for (const worker_order& order : pool.Plan()) ++(order.is_start ? starts : stops);
  }
  CHECK(stops == 0);
  CHECK(starts == 2);
  // The objective of the first job is 30 s; with 10 s of work its slack is too small after 12.5 s.
  pool.AdvanceTime(seconds(14));
  CHECK(pool.Plan().size() > 5);
}

// Guards against a job that has nothing running for 3 s because of the headroom, although twice the capacity
// that it needs is free.
TEST_CASE("headroom delays the first start of a job only briefly", "[pool]") {
  pool_fixture pool(8, 4, 1, 0.35);
  pool.Submit("0000000000000001", pool_fixture::Step(4, 8), 2);
  pool.Accept(pool.Plan());
  pool.Submit(kJob, pool_fixture::Step(2, 8, true), 1);
  CHECK(pool.Plan().empty());
  pool.AdvanceTime(milliseconds(2600));
  CHECK(pool.Plan().size() == 2);
}

// Guards against starting only some members of a gang.
TEST_CASE("a gang that does not fit completely does not start", "[pool]") {
  pool_fixture pool(2, 2);
  pool.Submit("0000000000000001", pool_fixture::Step(1, 8));
  pool.Accept(pool.Plan());
  pool.Submit(kJob, pool_fixture::Step(2, 8, true));
  CHECK(pool.Plan().empty());
}

// Guards against spreading a gang that requests one rack over several, where it takes several times as long.
TEST_CASE("a gang that requests one rack is placed in one rack", "[pool]") {
  pool_fixture pool(4, 2);
  pool.Submit("0000000000000001", pool_fixture::Step(1, 4));
  pool.Accept(pool.Plan());
  step_request step = pool_fixture::Step(2, 8, true);
  step.same_rack = true;
  pool.Submit(kJob, step);
  std::set<std::string> racks;
  for (const worker_order& order : pool.Plan()) {
    racks.insert(pool.state.workers().at(order.worker).registration.rack);
  }
  CHECK(racks.size() == 1);
}

// Guards against exceeding the limit of tasks per worker.
TEST_CASE("a step starts at most its limit of tasks on one worker", "[pool]") {
  pool_fixture pool(2, 2);
  step_request step = pool_fixture::Step(6, 1);
  step.max_per_worker = 2;
  pool.Submit(kJob, step);
  std::map<std::string, int> on_worker;
  for (const worker_order& order : pool.Plan()) ++on_worker[order.worker];
  CHECK(on_worker.size() == 2);
  for (const auto& [worker, count] : on_worker) CHECK(count == 2);
}

}  // namespace hickorystall::tests
