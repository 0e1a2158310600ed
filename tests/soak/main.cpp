// Soak test of the pool's owner: three VMs on one store, workers with leases, and random faults that overlap.
// It checks what clients and workers can observe: no task runs twice at the same time or after its
// acknowledged end, none exceeds its attempts or a worker's capacity, and every accepted job ends once the
// faults are over.
#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <memory>
#include <optional>

#include "coordination/pool/owner_vm.h"
#include "coordination/pool/pool_codec.h"
#include "coordination/pool/pool_tables.h"
#include "soak/faulty_store.h"
#include "soak/faulty_workers.h"
#include "transport/async_event.h"
#include "transport/boot_clock.h"

namespace hickorystall::tests {
namespace {

namespace asio = boost::asio;
using namespace coordination::pool;  // NOLINT(google-build-using-namespace)
using namespace state::pool;         // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using transport::BootNow;

constexpr int kVms = 3;
constexpr int kWorkers = 5;
constexpr int kMaxAttempts = 4;
constexpr milliseconds kFaultTime{6000};
// Time in which all jobs must end after the faults: several times the leases and authorities of two owners
// and the work of all jobs.
constexpr milliseconds kSettleTime{15'000};

// A fifth of the default times, so that a run contains several changes of owner.
ownership_settings SoakOwnership() {
  ownership_settings settings;
  settings.renewal = milliseconds(100);
  settings.takeover_timeout = milliseconds(300);
  settings.authority = milliseconds(700);
  settings.margin = milliseconds(40);
  return settings;
}

pool_settings SoakPool() {
  pool_settings settings;
  settings.worker_lease = milliseconds(1500);
  settings.headroom = 0;
  settings.gang_timeout = milliseconds(500);
  settings.avoid_time = milliseconds(100);
  settings.max_avoid_time = milliseconds(400);
  return settings;
}

class soak_run {
 public:
  explicit soak_run(std::uint64_t seed) : random_(seed), workers_(kWorkers, store_, random_) {
    store_.ApplyNow({{}, {{kConfigTable, "config", "{}"}}});
    for (int i = 0; i < kVms; ++i) {
      views_.push_back(std::make_unique<faulty_store>(store_, random_));
      StartVm(i);
    }
  }

  // Returns the violated guarantees.
  std::vector<std::string> Run() {
    asio::co_spawn(loop_, workers_.Run(), asio::detached);
    asio::co_spawn(loop_, RunScenario(), [this](const std::exception_ptr& failure) {
      loop_.stop();
      if (failure) std::rethrow_exception(failure);
    });
    loop_.run();
    workers_.CheckHistory(kMaxAttempts);
    std::vector<std::string> violations = workers_.violations();
    violations.insert(violations.end(), violations_.begin(), violations_.end());
    return violations;
  }

  int starts() const { return workers_.starts(); }
  int incarnations() const { return incarnations_; }

 private:
  int RandomInt(int low, int high) { return std::uniform_int_distribution<int>(low, high)(random_); }

  void StartVm(int index) {
    ownership_settings settings = SoakOwnership();
    const std::string name(1, static_cast<char>('a' + index));
    settings.incarnation = name + "-" + std::to_string(++incarnations_);
    settings.takeover_delay = milliseconds(10 * index);
    current_[index] = incarnations_ - 1;
    vms_.push_back(std::make_unique<owner_vm>(name, settings, SoakPool(), *views_[index], workers_, loop_));
  }

  void Submit() {
    job_entry job;
    job.submission.id = "00000000000000" + std::to_string(10 + jobs_.size());
    job.submission.workspace = "w";
    job.submission.queue = "q";
    job.submission.service = "s";
    job.submission.priority = 1;
    job.submission.max_attempts = kMaxAttempts;
    job.submission.stretch = 3.0;
    job.submission.accepted_at = transport::WallNow();
    step_request step;
    step.task_count = RandomInt(1, 6);
    step.need = {100, 100, 1};
    step.estimate = milliseconds(300);
    job.submission.request.steps = {step};
    const std::string& id = job.submission.id;
    store_.ApplyNow({{},
                     {{kJobsTable, id, EncodeSubmission(job.submission), JobPartition(id)},
                      {kProgressTable, id, EncodeProgress(job), JobPartition(id)}}});
    jobs_.push_back(id);
  }

  asio::awaitable<void> DisconnectVm(int index, milliseconds time) {
    views_[index]->is_disconnected = true;
    co_await transport::Sleep(time);
    views_[index]->is_disconnected = false;
  }

  asio::awaitable<void> RestartVm(int index, milliseconds time, bool planned) {
    owner_vm& vm = *vms_[current_[index]];
    planned ? vm.Leave() : vm.Kill();
    co_await transport::Sleep(time);
    StartVm(index);
    is_restarting_[index] = false;
  }

  void InjectFault() {
    const int vm = RandomInt(0, kVms - 1);
    switch (RandomInt(0, 6)) {
      case 0:
        asio::co_spawn(loop_, DisconnectVm(vm, milliseconds(RandomInt(100, 1500))), asio::detached);
        break;
      case 1:
      case 2:
        if (is_restarting_[vm]) break;
        is_restarting_[vm] = true;
        asio::co_spawn(loop_, RestartVm(vm, milliseconds(RandomInt(20, 400)), RandomInt(0, 2) == 0),
                       asio::detached);
        break;
      case 3:
        workers_.MakeUnreachable(milliseconds(RandomInt(300, 2500)));
        break;
      case 4:
        workers_.Crash();
        break;
      case 5:
        workers_.lost_share = 0.1 * RandomInt(0, 2);
        workers_.late_share = 0.1 * RandomInt(0, 2);
        break;
      default:
        for (const auto& view : views_) {
          view->lost_share = 0.1 * RandomInt(0, 2);
          view->late_share = 0.1 * RandomInt(0, 2);
        }
    }
  }

  asio::awaitable<void> RunScenario() {
    const boot_time end = BootNow() + kFaultTime;
    while (BootNow() < end) {
      if (jobs_.size() < 60) Submit();
      InjectFault();
      co_await transport::Sleep(milliseconds(RandomInt(50, 250)));
    }
    workers_.lost_share = workers_.late_share = 0;
    for (const auto& view : views_) view->lost_share = view->late_share = 0;
    const boot_time limit = BootNow() + kSettleTime;
    while (CountOpen() > 0 && BootNow() < limit) co_await transport::Sleep(milliseconds(50));
    if (CountOpen() > 0)
      violations_.push_back("lost: " + std::to_string(CountOpen()) + " jobs have not ended");
  }

  int CountOpen() const {
    int open = 0;
    for (const std::string& id : jobs_) {
      const absl::StatusOr<stored_progress> progress = DecodeProgress(store_.Value(kProgressTable, id));
      open += progress.ok() && IsFinal(progress->phase) ? 0 : 1;
    }
    return open;
  }

  std::mt19937_64 random_;
  memory_store store_;
  faulty_workers workers_;
  std::vector<std::unique_ptr<faulty_store>> views_;
  // All incarnations of all VMs. A killed one is kept, since its coroutines end later.
  std::vector<std::unique_ptr<owner_vm>> vms_;
  int current_[kVms] = {};
  int incarnations_ = 0;
  // True from a VM's end until its next start.
  bool is_restarting_[kVms] = {};
  std::vector<std::string> jobs_;
  std::vector<std::string> violations_;
  // Destroyed first: its coroutines use all of the above.
  asio::io_context loop_;
};

}  // namespace
}  // namespace hickorystall::tests

int main(int argc, char** argv) {
  CLI::App app{"Soak test of the pool's owner under faults. Prints one line per seed to standard error."};
  std::uint64_t first = 1;
  int count = 1;
  app.add_option("--first-seed", first, "Seed of the first run");
  app.add_option("--seeds", count, "Number of runs")->check(CLI::Range(1, 10'000));
  CLI11_PARSE(app, argc, argv);
  int failed = 0;
  for (int i = 0; i < count; ++i) {
    const std::uint64_t seed = first + static_cast<std::uint64_t>(i);
    hickorystall::tests::soak_run run(seed);
    const std::vector<std::string> violations = run.Run();
    std::fprintf(stderr, "seed %llu: %d starts, %d VM starts, %zu violations\n",
                 static_cast<unsigned long long>(seed), run.starts(), run.incarnations(), violations.size());
    for (const std::string& violation : violations) std::fprintf(stderr, "  %s\n", violation.c_str());
    failed += violations.empty() ? 0 : 1;
  }
  std::fprintf(stderr, "%d passed, %d failed\n", count - failed, failed);
  return failed == 0 ? 0 : 1;
}
