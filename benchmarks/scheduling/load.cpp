#include "load.h"

#include <algorithm>
#include <cmath>
#include <functional>

#include "random_source.h"
#include "state/text.h"

namespace hickorystall::benchmark {
namespace {

using state::adjacency;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Start of the manual clock. It is not zero because zero means "never".
constexpr state::wall_time kStart{hours(1000)};

/// Ranges of the sizes of a class of jobs.
struct job_class {
  /// Kind of work in job_spec.
  const char* kind;
  /// Fewest and most members.
  int min_members;
  int max_members;
  /// Accelerators per member.
  int accelerators;
  /// How close together the members must be.
  adjacency placement;
  /// Shortest and longest run time.
  milliseconds shortest;
  milliseconds longest;
  /// These three have the meaning that job_spec gives them.
  bool may_wait;
  bool may_checkpoint;
  bool urgent;
  /// Time from submission; zero for none.
  milliseconds deadline;
};

constexpr job_class kQuote{"quote",     1,     1,     1,    adjacency::kNone, seconds(5),
                           seconds(60), false, false, true, milliseconds(0)};
constexpr job_class kForecast{"forecast",  1,    1,     1,     adjacency::kNone, minutes(1),
                              minutes(20), true, false, false, milliseconds(0)};
constexpr job_class kSmall{"small",     1,    1,    2,     adjacency::kNone, minutes(2),
                           minutes(30), true, true, false, milliseconds(0)};
constexpr job_class kMedium{"medium",    1,    2,    4,     adjacency::kNone, minutes(10),
                            minutes(60), true, true, false, milliseconds(0)};
constexpr job_class kMatching{"matching",   3,    6,    8,     adjacency::kRack, minutes(30),
                              minutes(120), true, true, false, hours(14)};
constexpr job_class kChecking{"checking",  2,    4,    8,     adjacency::kRack, minutes(15),
                              minutes(60), true, true, false, milliseconds(0)};
constexpr job_class kAmendment{"amendment",    4,           8,    4,    adjacency::kFailureDomain,
                               minutes(10),    minutes(45), true, true, false,
                               milliseconds(0)};

/// Builds the jobs of one load.
class load_builder {
 public:
  /// Starts a load over `config`.
  load_builder(std::string name, std::uint64_t seed, state::cluster_config config) : random_(seed) {
    result_.name = std::move(name);
    result_.seed = seed;
    result_.config = std::move(config);
  }

  /// Adds a job with random sizes of `sizes`, submitted at `at` after the start.
  void Add(const job_class& sizes, milliseconds at) {
    load_job job;
    state::job_record& record = job.record;
    record.id = state::StrCat("j", 100000 + static_cast<int>(result_.jobs.size()));
    record.workspace = result_.config.workspaces[PickWorkspace()].name;
    record.submitted_at = kStart + at;
    record.spec.kind = sizes.kind;
    record.spec.members = random_.Between(sizes.min_members, sizes.max_members);
    record.spec.accelerators = sizes.accelerators;
    record.spec.processors = std::max(1, sizes.accelerators * 4);
    record.spec.placement = sizes.placement;
    record.spec.deadline = sizes.deadline;
    record.spec.may_wait = sizes.may_wait;
    record.spec.may_checkpoint = sizes.may_checkpoint;
    record.spec.urgent = sizes.urgent;
    job.run_time = random_.Time(sizes.shortest, sizes.longest);
    record.spec.run_time = DeclaredRunTime(record, job.run_time);
    result_.jobs.push_back(std::move(job));
  }

  /// Adds `count` jobs of `sizes`, submitted at random times in [from, to) after the start.
  void Spread(const job_class& sizes, milliseconds from, milliseconds to, int count) {
    for (int i = 0; i < count; ++i) {
      Add(sizes, from + milliseconds(static_cast<std::int64_t>(random_.Unit() *
                                                               static_cast<double>((to - from).count()))));
    }
  }

  /// Adds `count` jobs of `sizes`, submitted within five seconds from `at`.
  void Burst(const job_class& sizes, milliseconds at, int count) {
    Spread(sizes, at, at + seconds(5), count);
  }

  /// Makes the declared run times of further jobs wrong by up to `factor` in either direction. Half of the
  /// error on a logarithmic scale depends on workspace and kind, the other half on the job.
  void set_error(double factor) { error_ = factor; }

  random_source& random() { return random_; }
  /// The load built so far.
  load& result() { return result_; }

  /// Sorts the jobs by arrival, sets the horizon to `horizon` after the start, and returns the load.
  load Finish(milliseconds horizon) {
    std::stable_sort(result_.jobs.begin(), result_.jobs.end(), [](const load_job& a, const load_job& b) {
      return a.record.submitted_at < b.record.submitted_at;
    });
    result_.horizon = kStart + horizon;
    return std::move(result_);
  }

 private:
  /// Returns a random workspace index; low indices are more frequent.
  int PickWorkspace() {
    const double unit = random_.Unit();
    return static_cast<int>(unit * unit * static_cast<double>(result_.config.workspaces.size()));
  }

  /// Returns the declared run time of a job that actually runs for `actual`.
  milliseconds DeclaredRunTime(const state::job_record& record, milliseconds actual) {
    if (error_ <= 1) return actual;
    const double half = std::sqrt(error_);
    double& bias = bias_[state::StrCat(record.workspace, "/", record.spec.kind)];
    if (bias == 0) bias = random_.LogBetween(1 / half, half);
    const double factor = bias * random_.LogBetween(1 / half, half);
    return milliseconds(std::max<std::int64_t>(
        1000, static_cast<std::int64_t>(factor * static_cast<double>(actual.count()))));
  }

  random_source random_;
  load result_;
  /// Largest factor by which a declared run time is wrong; 1 when it is exact.
  double error_ = 1;
  /// Error factor by "WORKSPACE/KIND".
  std::map<std::string, double> bias_;
};

/// Adds `count` workers in racks of `per_rack`. The racks are assigned to the failure domains in turn.
void AddWorkers(state::cluster_config& config, int count, int per_rack, int accelerators, int processors) {
  for (int i = 0; i < count; ++i) {
    if (i % per_rack == 0) {
      const std::size_t rack = config.racks.size();
      config.racks.push_back(
          {state::StrCat("r", 100 + rack), config.failure_domains[rack % config.failure_domains.size()]});
    }
    state::vm_config vm;
    vm.name = state::StrCat("w", 1000 + config.vms.size());
    vm.rack = config.racks.back().name;
    vm.processors = processors;
    vm.memory_mib = std::int64_t{256} * 1024;
    vm.accelerators = accelerators;
    config.vms.push_back(std::move(vm));
  }
}

/// Returns a deployment of 50 workers with four workspaces whose guarantees cover about half of it.
state::cluster_config Deployment(int domains, int per_rack, int processors) {
  state::cluster_config config;
  for (int i = 0; i < domains; ++i) config.failure_domains.push_back(state::StrCat("d", i));
  AddWorkers(config, 50, per_rack, 8, processors);
  config.workspaces.resize(4);
  for (int i = 0; i < 4; ++i) config.workspaces[i].name = state::StrCat("workspace", i);
  config.workspaces[0].guarantees = {
      {per_rack, 8, adjacency::kRack}, {4, 8, adjacency::kRack}, {4, 4, adjacency::kNone}};
  config.workspaces[1].guarantees = {{4, 8, adjacency::kRack}, {6, 1, adjacency::kNone}};
  config.workspaces[2].guarantees = {{2, 8, adjacency::kRack}, {4, 1, adjacency::kNone}};
  config.workspaces[3].guarantees = {{4, 4, adjacency::kFailureDomain}};
  return config;
}

/// Returns deployment 1 (wholesale) or 2 (documents).
state::cluster_config DeploymentOf(int number) {
  return number == 1 ? Deployment(4, 6, 128) : Deployment(3, 8, 64);
}

/// Adds an evening peak: three hours of demand above capacity, with bursts of small and large jobs. No jobs
/// arrive afterwards.
void AddEveningPeak(load_builder& builder, int number) {
  const job_class& large = number == 1 ? kMatching : kChecking;
  const milliseconds peak = hours(3);
  builder.Spread(kQuote, milliseconds(0), peak, 500);
  builder.Spread(kForecast, milliseconds(0), peak, 1000);
  builder.Spread(kSmall, milliseconds(0), peak, 500);
  builder.Spread(kMedium, milliseconds(0), peak, 130);
  builder.Spread(large, milliseconds(0), peak, number == 1 ? 10 : 25);
  if (number == 2) builder.Spread(kAmendment, milliseconds(0), peak, 25);
  for (milliseconds at = minutes(20); at < peak; at += minutes(30)) {
    builder.Burst(kForecast, at, 60);
    builder.Burst(kQuote, at, 15);
    builder.Burst(large, at, number == 1 ? 1 : 3);
  }
}

/// Returns an evening peak. `before` and `after` change the load before and after the jobs are added; each
/// may be empty.
load MakeEveningPeak(const std::string& name, int number, std::uint64_t seed,
                     const std::function<void(load_builder&)>& before,
                     const std::function<void(load_builder&)>& after) {
  load_builder builder(state::StrCat(name, ", deployment ", number), seed, DeploymentOf(number));
  if (before) before(builder);
  AddEveningPeak(builder, number);
  if (after) after(builder);
  return builder.Finish(hours(4));
}

/// Returns a load with a single burst on a half-loaded cluster.
load MakeSingleBurst(const std::string& name, const job_class& sizes, int count, std::uint64_t seed) {
  load_builder builder(state::StrCat(name, ", deployment 1"), seed, DeploymentOf(1));
  builder.Spread(kForecast, milliseconds(0), hours(2), 500);
  builder.Spread(kMedium, milliseconds(0), hours(2), 60);
  builder.Spread(kMatching, milliseconds(0), hours(2), 6);
  builder.Spread(kQuote, milliseconds(0), hours(2), 200);
  builder.Burst(sizes, minutes(30), count);
  return builder.Finish(hours(3));
}

/// Makes every twentieth worker fail all of its tasks.
void FailWorkers(load_builder& builder) {
  for (std::size_t i = 7; i < builder.result().config.vms.size(); i += 20) {
    builder.result().failing.insert(builder.result().config.vms[i].name);
  }
}

/// Makes the second rack unavailable for an hour in the middle of the peak.
void LoseRack(load_builder& builder) {
  load_outage outage{kStart + minutes(75), kStart + minutes(135), {}};
  for (const state::vm_config& vm : builder.result().config.vms) {
    if (vm.rack == builder.result().config.racks[1].name) outage.workers.insert(vm.name);
  }
  builder.result().outages.push_back(std::move(outage));
}

/// Makes three jobs in a hundred impossible on average.
void MakeSomeImpossible(load_builder& builder) {
  for (load_job& job : builder.result().jobs) {
    if (!builder.random().Chance(0.03)) continue;
    job.impossible = true;
    (builder.random().Chance(0.5) ? job.record.spec.accelerators : job.record.spec.members) = 999;
  }
}

}  // namespace

load MakeTwoYearLoad(std::uint64_t seed, double factor) {
  const auto scaled = [&](double value) {
    return std::max(1, static_cast<int>(std::lround(value * factor)));
  };
  state::cluster_config config;
  for (int i = 0; i < 8; ++i) config.failure_domains.push_back(state::StrCat("d", i));
  AddWorkers(config, scaled(100), 10, 8, 64);
  AddWorkers(config, scaled(45), 15, 2, 32);
  AddWorkers(config, scaled(725), 25, 0, 16);
  for (int i = 0; i < scaled(170); ++i) {
    state::workspace_config& workspace = config.workspaces.emplace_back();
    workspace.name = state::StrCat("team", 100 + i);
    workspace.max_accelerators = 128;
    workspace.guarantees = {{1, 2, adjacency::kNone}};
    if (i % 20 == 0) workspace.guarantees.push_back({1, 8, adjacency::kNone});
  }
  constexpr job_class kService{"service", 1,    24,   0,     adjacency::kNone, hours(4),
                               hours(24), true, true, false, milliseconds(0)};
  constexpr job_class kWide{"wide",   16,   64,   0,     adjacency::kNone, hours(1),
                            hours(8), true, true, false, milliseconds(0)};
  constexpr job_class kTrain{"train",   2,    8,    8,     adjacency::kRack, hours(2),
                             hours(12), true, true, false, milliseconds(0)};
  constexpr job_class kTune{"tune",    1,    1,    2,     adjacency::kNone, hours(1),
                            hours(10), true, true, false, milliseconds(0)};
  load_builder builder(state::StrCat("two-year size x ", static_cast<int>(factor * 1000), "/1000"), seed,
                       std::move(config));
  const milliseconds day = hours(24);
  builder.Spread(kService, milliseconds(0), day, scaled(820));
  builder.Spread(kWide, milliseconds(0), day, scaled(50));
  builder.Spread(kTrain, milliseconds(0), day, scaled(50));
  builder.Spread(kTune, milliseconds(0), day, scaled(380));
  builder.Spread(kQuote, milliseconds(0), day, scaled(100));
  return builder.Finish(hours(24));
}

std::vector<load> MakeLoads(std::uint64_t seed, bool short_set) {
  std::vector<load> loads;
  const auto error = [](load_builder& builder) { builder.set_error(10); };
  for (int number : {1, 2}) {
    loads.push_back(MakeEveningPeak("evening peak", number, seed + number, nullptr, nullptr));
    loads.push_back(MakeEveningPeak("declared times off by 10", number, seed + 2 + number, error, nullptr));
    loads.push_back(MakeEveningPeak("5% failing workers", number, seed + 4 + number, nullptr, FailWorkers));
    loads.push_back(
        MakeEveningPeak("cancel wave", number, seed + 6 + number, nullptr,
                        [](load_builder& builder) { builder.result().cancel_at = kStart + minutes(100); }));
    loads.push_back(MakeEveningPeak("rack loss", number, seed + 8 + number, nullptr, LoseRack));
    loads.push_back(
        MakeEveningPeak("impossible jobs", number, seed + 10 + number, nullptr, MakeSomeImpossible));
  }
  loads.push_back(MakeSingleBurst("burst of small jobs", kForecast, 800, seed + 20));
  loads.push_back(MakeSingleBurst("burst of large jobs", kMatching, 25, seed + 21));
  loads.push_back(MakeSingleBurst("burst of urgent jobs", kQuote, 300, seed + 22));
  if (!short_set) loads.push_back(MakeTwoYearLoad(seed + 30, 1));
  return loads;
}

}  // namespace hickorystall::benchmark
