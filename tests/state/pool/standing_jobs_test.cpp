// Tests that no job waits while the pool has room for it: the planner and the pool state are driven through
// time, and after each step a monitor checks how long each job has had nothing running.
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <set>

#include "state/pool/pool_fixture.h"
#include "state/pool/unit_placement.h"

namespace hickorystall::tests {

using namespace state::pool;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kFillingJob[] = "0000000000000001";
constexpr char kJob[] = "00000000000000aa";
constexpr char kUrgentJob[] = "00000000000000bb";
constexpr milliseconds kInterval{100};

// Returns whether any task of `job` runs on a worker that replies.
bool HasRunningTask(const job_entry& job) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const step_progress& step : occurrence.steps) {
      for (const work_unit& unit : step.units) {
        for (const unit_member& member : unit.members) {
          if (member.phase == run_phase::kRunning && member.host->reachable) return true;
        }
      }
    }
  }
  return false;
}

// Returns whether a unit of `step` is not done and every task of the unit fits twice into the free capacity
// of the workers that may run it.
bool HasRoomTwice(const pool_state& state, const job_entry& job, const step_request& step) {
  unit_shape shape;
  shape.step = &step;
  const queue_rules* rules = state.RulesOf(job);
  shape.service = rules == nullptr ? job.submission.service : rules->service;
  const int needed = 2 * (step.gang ? step.task_count : 1);
  int fitting = 0;
  for (const auto& [id, worker] : state.workers()) {
    if (!worker.listed || !worker.reachable || worker.registration.draining) continue;
    if (IsEligible(worker, shape)) fitting += MembersThatFit({&worker, worker.Free()}, shape, needed);
  }
  return fitting >= needed;
}

// Returns whether under half of the accelerators and CPU of `service` is in use.
bool IsUnderHalfUsed(const pool_state& state, const std::string& service) {
  resources capacity;
  resources used;
  for (const auto& [id, worker] : state.workers()) {
    if (!worker.listed || !worker.reachable || worker.registration.service != service) continue;
    capacity += worker.registration.capacity;
    used += worker.registration.capacity;
    used -= worker.Free();
  }
  return 2 * used.accelerators < capacity.accelerators && 2 * used.cpu_millis < capacity.cpu_millis;
}

// Measures how long jobs break the rule without interruption: a task is ready, nothing of the job runs, twice
// the capacity for it is free, and under half of its service is in use.
class standing_monitor {
 public:
  void Update(const pool_fixture& pool) {
    for (const auto& [id, job] : pool.state.open_jobs()) {
      if (IsFinal(job->phase) || !IsStanding(pool.state, *job)) {
        since_.erase(job->submission.id);
        continue;
      }
      const auto [found, is_new] = since_.emplace(job->submission.id, pool.now);
      milliseconds& longest = longest_[job->submission.id];
      longest = std::max(longest, std::chrono::duration_cast<milliseconds>(pool.now - found->second));
    }
  }

  milliseconds Longest(const std::string& job) const {
    const auto found = longest_.find(job);
    return found == longest_.end() ? milliseconds(0) : found->second;
  }

 private:
  static bool IsStanding(const pool_state& state, const job_entry& job) {
    if (HasRunningTask(job)) return false;
    const queue_rules* rules = state.RulesOf(job);
    if (!IsUnderHalfUsed(state, rules == nullptr ? job.submission.service : rules->service)) return false;
    for (const auto& [number, occurrence] : job.occurrences) {
      for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        const step_progress& step = occurrence.steps[i];
        if (!step.ready || step.open_units == 0) continue;
        if (HasRoomTwice(state, job, job.submission.request.steps[i])) return true;
      }
    }
    return false;
  }

  std::map<std::string, boot_time> since_;
  std::map<std::string, milliseconds> longest_;
};

using order_handler = std::function<void(pool_fixture&, const worker_order&)>;

// Accepts each start. The stops have no effect.
void AcceptStart(pool_fixture& pool, const worker_order& order) { pool.Accept({order}); }

// Plans every `kInterval` for `time`. `handle` receives each order; starts have no other reply.
void Run(pool_fixture& pool, standing_monitor& monitor, milliseconds time,
         const order_handler& handle = AcceptStart) {
  for (milliseconds passed{0}; passed <= time; passed += kInterval) {
    for (const worker_order& order : pool.Plan()) handle(pool, order);
    monitor.Update(pool);
    pool.AdvanceTime(kInterval);
  }
}

int CountActive(const pool_fixture& pool, const std::string& job) {
  int active = 0;
  for (const auto& [number, occurrence] : pool.state.jobs().at(job).occurrences) {
    for (const step_progress& step : occurrence.steps) {
      for (const work_unit& unit : step.units) active += unit.IsIdle() ? 0 : 1;
    }
  }
  return active;
}

// Returns a step whose tasks run only on workers with `label`.
step_request StepWithLabel(int tasks, int accelerators, const std::string& label) {
  step_request step = pool_fixture::Step(tasks, accelerators);
  step.required_label = label;
  return step;
}

// Limit of 3 s for a job with nothing running, less the time that it takes to store and order a start.
constexpr milliseconds kLongestWait{2200};

}  // namespace

// Load: the rack with the data is full, and the rest of the pool is empty. Guards against a job with nothing
// running that waits for near room until that costs as much as a remote run.
TEST_CASE("a job whose data rack is full does not stand still", "[pool]") {
  pool_fixture pool(8, 2);
  standing_monitor monitor;
  pool.Submit(kFillingJob, StepWithLabel(2, 8, "rack-0"));
  Run(pool, monitor, milliseconds(0));
  step_request step = pool_fixture::Step(3, 4);
  step.data_rack = "rack-0";
  pool.Submit(kJob, step);
  Run(pool, monitor, seconds(5));
  CHECK(monitor.Longest(kJob) <= kLongestWait);
  // The other tasks wait for near room, which takes less time than a remote run.
  CHECK(CountActive(pool, kJob) == 1);
}

// Load: each rack has a small task. Guards against a gang with nothing running that waits for an empty rack
// until that costs as much as a run over several racks.
TEST_CASE("a gang that requests one rack does not stand still while no rack has room", "[pool]") {
  pool_fixture pool(8, 2);
  standing_monitor monitor;
  for (int rack = 0; rack < 4; ++rack) {
    pool.Submit("000000000000000" + std::to_string(rack),
                StepWithLabel(1, 1, "rack-" + std::to_string(rack)));
  }
  Run(pool, monitor, milliseconds(0));
  step_request step = pool_fixture::Step(2, 8, true);
  step.same_rack = true;
  pool.Submit(kJob, step);
  Run(pool, monitor, seconds(5));
  CHECK(monitor.Longest(kJob) <= kLongestWait);
}

// Load: the data rack is full, and so is most of the pool. A remote run takes capacity for three times as
// long, so the job waits for near room although some other worker is free.
TEST_CASE("a job waits for its data rack while most of the pool is in use", "[pool]") {
  pool_fixture pool(8, 2);
  standing_monitor monitor;
  pool.Submit(kFillingJob, pool_fixture::Step(6, 8));
  Run(pool, monitor, milliseconds(0));
  step_request step = pool_fixture::Step(1, 4);
  step.data_rack = "rack-0";
  pool.Submit(kJob, step);
  Run(pool, monitor, seconds(5));
  CHECK(CountActive(pool, kJob) == 0);
}

// Guards against holding a large gang back for the headroom while more than half of the pool is free, and as
// much again as the gang needs.
TEST_CASE("a large gang starts at once while under half of the pool is in use", "[pool]") {
  pool_fixture pool(8, 4, 1, 0.35);
  standing_monitor monitor;
  pool.Submit(kFillingJob, pool_fixture::Step(4, 7));
  Run(pool, monitor, milliseconds(0));
  pool.Submit(kJob, pool_fixture::Step(2, 8, true));
  Run(pool, monitor, milliseconds(0));
  CHECK(CountActive(pool, kJob) == 1);
}

// Guards against a wait for the headroom that leaves no time to store and order the start, and against one
// that begins anew when the owner changes.
TEST_CASE("the wait for the headroom counts from the acceptance of the job", "[pool]") {
  pool_fixture pool(8, 4, 1, 0.35);
  standing_monitor monitor;
  pool.Submit(kFillingJob, pool_fixture::Step(5, 8), 2);
  Run(pool, monitor, milliseconds(0));
  pool.Submit(kJob, pool_fixture::Step(1, 8), 1);
  pool.state.jobs().at(kJob).accepted_at = pool.now - milliseconds(1500);
  Run(pool, monitor, milliseconds(300));
  CHECK(CountActive(pool, kJob) == 0);
  Run(pool, monitor, milliseconds(300));
  CHECK(CountActive(pool, kJob) == 1);
}

// Load: some workers have crashed, and the runs on them are not known to have ended. Guards against counting
// such a run as one that lets the other tasks of its job wait for the headroom.
TEST_CASE("a run on an unreachable worker does not extend the wait for the headroom", "[pool]") {
  pool_fixture pool(8, 2, 1, 0.35);
  standing_monitor monitor;
  pool.Submit(kJob, StepWithLabel(1, 8, "rack-3"));
  pool.state.jobs().at(kJob).submission.request.steps.push_back(pool_fixture::Step(1, 4));
  Run(pool, monitor, milliseconds(0));
  REQUIRE(CountActive(pool, kJob) == 2);
  const work_unit& lost = *pool.state.FindUnit({kJob, 0, 0, 0});
  const work_unit& other = *pool.state.FindUnit({kJob, 0, 1, 0});
  // Leaves a third of the capacity free once the other task fails and both workers of the first one's rack
  // crash, one of which runs a task of this job.
  pool.Submit(kFillingJob, pool_fixture::Step(5, 8), 0);
  Run(pool, monitor, milliseconds(0));
  pool.ApplyLists(other.members[0].worker, {},
                  {{1, TaskName(kJob, 0, 1, 0), other.last_run, end_kind::kFailed, ""}});
  REQUIRE(other.IsIdle());
  for (const int index : {6, 7}) pool.state.MarkUnreachable(pool_fixture::Worker(index), "timeout", pool.now);
  Run(pool, monitor, milliseconds(1000));
  CHECK(other.IsIdle());
  Run(pool, monitor, milliseconds(1500));
  CHECK(!lost.IsIdle());
  CHECK(!other.IsIdle());
}

// Guards against counting the load of other services: it holds back a job whose own service is idle.
TEST_CASE("the headroom is that of the service of the job", "[pool]") {
  pool_fixture pool(8, 4, 1, 0.35);
  standing_monitor monitor;
  for (const int index : {6, 7}) {
    worker_registration registration = pool.state.workers().at(pool_fixture::Worker(index)).registration;
    registration.service = "other";
    pool.state.SetRegistration(registration, pool.now);
  }
  pool.Submit(kFillingJob, pool_fixture::Step(6, 8), 0);
  Run(pool, monitor, milliseconds(0));
  pool.Submit(kJob, pool_fixture::Step(1, 4), 1);
  job_submission& submission = pool.state.jobs().at(kJob).submission;
  submission.queue = "queue without rules";
  submission.service = "other";
  Run(pool, monitor, milliseconds(0));
  CHECK(CountActive(pool, kJob) == 1);
}

// Shows that a pass may give up a step after the first unit that does not fit: what differs between units of
// a step (workers on which they failed, saved progress, tasks per worker) decides only the order of workers.
TEST_CASE("units of one step are placed as long as there is room", "[pool]") {
  pool_fixture pool(4, 2);
  standing_monitor monitor;
  step_request step = pool_fixture::Step(8, 2);
  step.max_per_worker = 2;
  step.checkpointable = true;
  pool.Submit(kJob, step);
  pool.state.MakeDueOccurrences(pool.now, pool.wall_now);
  for (int worker = 0; worker < 4; ++worker) {
    pool.state.FindUnit({kJob, 0, 0, 0})->failed_on.insert(pool_fixture::Worker(worker));
  }
  pool.state.FindUnit({kJob, 0, 0, 1})->checkpoint = "saved";
  pool.state.FindUnit({kJob, 0, 0, 2})->unresolved_workers.insert(pool_fixture::Worker(0));
  Run(pool, monitor, milliseconds(0));
  CHECK(CountActive(pool, kJob) == 7);
}

// Load: an urgent gang has preempted work, and one stop does not end. Guards against reserving idle workers
// for the gang as long as that lasts.
TEST_CASE("a reservation that is not fulfilled does not hold other jobs back", "[pool]") {
  pool_fixture pool(4, 4);
  standing_monitor monitor;
  pool.Submit(kFillingJob, pool_fixture::Step(1, 8), 2);
  Run(pool, monitor, milliseconds(0));
  pool.Submit(kUrgentJob, pool_fixture::Step(4, 8, true), 0);
  Run(pool, monitor, milliseconds(0));
  pool.Submit(kJob, pool_fixture::Step(1, 1), 1);
  int starts = 0;
  Run(pool, monitor, seconds(5), [&](pool_fixture& fixture, const worker_order& order) {
    if (!order.task.starts_with(kJob)) return;
    if (order.is_start) {
      ++starts;
      fixture.Accept({order});
    } else {
      fixture.ApplyLists(order.worker, {}, {{starts, order.task, order.run, end_kind::kStopped, ""}});
    }
  });
  CHECK(starts > 0);
  CHECK(monitor.Longest(kJob) <= kLongestWait);
}

// Load: a burst of jobs that fail wherever they run. Guards against avoiding all healthy workers at the same
// time.
TEST_CASE("jobs that always fail do not leave others without a worker", "[pool]") {
  pool_fixture pool(4, 2);
  standing_monitor monitor;
  std::map<std::string, std::int64_t> ends;
  const auto fail = [&](pool_fixture& fixture, const worker_order& order) {
    if (!order.is_start) return;
    fixture.Accept({order});
    if (order.task.starts_with(kJob)) return;
    fixture.ApplyLists(order.worker, {},
                       {{++ends[order.worker], order.task, order.run, end_kind::kFailed, ""}});
  };
  for (int i = 10; i < 50; ++i) pool.Submit("00000000000000" + std::to_string(i), pool_fixture::Step(1, 1));
  Run(pool, monitor, milliseconds(0), fail);
  pool.Submit(kJob, pool_fixture::Step(1, 1));
  Run(pool, monitor, seconds(8), fail);
  CHECK(monitor.Longest(kJob) <= kLongestWait);
}

// Guards against choosing a worker that refuses each start again and again while others are free.
TEST_CASE("a worker that refuses starts does not hold a job back", "[pool]") {
  pool_fixture pool(4, 2);
  standing_monitor monitor;
  const bool is_gang = GENERATE(false, true);
  const bool needs_one_rack = GENERATE(false, true);
  const auto refuse = [](pool_fixture& fixture, const worker_order& order) {
    if (!order.is_start) {
      fixture.state.HandleStopReply(order.worker, order.task, order.run);
      fixture.ApplyLists(order.worker, {});
      return;
    }
    const bool is_refused = order.worker == pool_fixture::Worker(0);
    fixture.state.HandleStartReply(order.task, order.run,
                                   is_refused ? start_reply::kRefused : start_reply::kAccepted, fixture.now);
  };
  step_request step = pool_fixture::Step(3, 4, is_gang);
  step.same_rack = needs_one_rack;
  pool.Submit(kJob, step);
  Run(pool, monitor, seconds(5), refuse);
  CHECK(monitor.Longest(kJob) <= kLongestWait);
  // The members of a gang that does not start completely count as running for a moment.
  for (const work_unit& unit : pool.state.jobs().at(kJob).occurrences.at(0).steps[0].units) {
    for (const unit_member& member : unit.members) CHECK(member.phase == run_phase::kRunning);
  }
}

}  // namespace hickorystall::tests
