#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "coordination/gang_controller.h"
#include "coordination/lease_renewer.h"
#include "fake_table.h"
#include "run_coroutine.h"

namespace hickorystall::coordination {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using trompeloeil::_;

// A worker whose replies a test controls.
class mock_worker : public protocol::worker_client {
 public:
  template <typename T>
  using task = asio::awaitable<T>;
  using lease_list = std::vector<std::string>;

  MAKE_MOCK3(Start, task<absl::Status>(std::string, protocol::task_start, milliseconds), override);
  MAKE_MOCK5(SetShare, task<absl::Status>(std::string, std::string, std::string, double, milliseconds),
             override);
  MAKE_MOCK4(Checkpoint,
             task<absl::StatusOr<protocol::task_checkpoint>>(std::string, std::string, std::string,
                                                             milliseconds),
             override);
  MAKE_MOCK4(Stop, task<absl::Status>(std::string, std::string, std::string, milliseconds), override);
  MAKE_MOCK4(Renew,
             task<absl::StatusOr<protocol::lease_renewal>>(std::string, lease_list, milliseconds,
                                                           milliseconds),
             override);
  MAKE_MOCK4(List,
             task<absl::StatusOr<protocol::worker_report>>(std::string, std::int64_t, milliseconds,
                                                           milliseconds),
             override);
};

asio::awaitable<absl::StatusOr<protocol::worker_report>> ReportTwoTasks() {
  protocol::worker_report report;
  for (const char* lease : {"job.1.0", "job.1.1"}) {
    protocol::worker_task running;
    running.task = running.lease = lease;
    running.state = protocol::task_state::kRunning;
    report.tasks.push_back(running);
  }
  co_return report;
}

asio::awaitable<absl::StatusOr<protocol::lease_renewal>> ConfirmRenewal(std::vector<std::string> leases) {
  protocol::lease_renewal renewal;
  renewal.renewed = std::move(leases);
  co_return renewal;
}

// One renewer, one worker with two tasks, and a table.
struct renewer_fixture {
  renewer_fixture() {
    auto document = std::make_shared<state::versioned_config>();
    document->config.vms.push_back({.name = "w1", .address = "127.0.0.1:1", .rack = "r1"});
    config = document;
  }

  // Runs one round and returns the leases that were renewed.
  std::vector<std::string> RenewOnce() {
    std::vector<std::string> renewed;
    ALLOW_CALL(worker, List(_, _, _, _)).RETURN(ReportTwoTasks());
    ALLOW_CALL(worker, Renew(_, _, _, _)).LR_SIDE_EFFECT(renewed = _2).RETURN(ConfirmRenewal(_2));
    lease_renewer renewer(
        worker, table, {.pool = "p", .instance = "s1"}, [this] { return config; }, [this] { return peers; });
    RunCoroutine([](lease_renewer& subject) -> asio::awaitable<int> {
      co_await subject.RenewAll();
      co_return 0;
    }(renewer));
    return renewed;
  }

  mock_worker worker;
  fake_table table;
  renewal_peers peers{{"s1", "s2"}, false};
  std::shared_ptr<const state::versioned_config> config;
};

// Guards against a revoked lease being kept alive, so that its capacity would be used twice.
TEST_CASE_METHOD(renewer_fixture, "a revoked lease is left to expire", "[lease_renewer]") {
  table.rows[RevokedLeaseKey("p", "job.1.0")] = {RevokedLeaseKey("p", "job.1.0"), "{}", 1};
  CHECK(RenewOnce() == std::vector<std::string>{"job.1.1"});
}

// Guards against running tasks ending because the store is unreachable for every scheduler.
TEST_CASE_METHOD(renewer_fixture, "leases are renewed while no scheduler reaches the store",
                 "[lease_renewer]") {
  table.down = true;
  CHECK(RenewOnce().size() == 2);
}

// Guards against an instance that is cut off from the store renewing leases that the owner has revoked in the
// meantime.
TEST_CASE_METHOD(renewer_fixture, "an instance does not renew when only it is cut off from the store",
                 "[lease_renewer]") {
  table.down = true;
  peers.others_reach_store = true;
  CHECK(RenewOnce().empty());
}

}  // namespace
}  // namespace hickorystall::coordination
