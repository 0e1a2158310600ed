#include "state/routing/target_table.h"

#include <catch2/catch.hpp>

#include "state/routing/admission_queue.h"

namespace hickorystall::state {
namespace {

using std::chrono::milliseconds;

const routing_time kStart = routing_time() + std::chrono::hours(1);

cluster_config MakeConfig(int executors) {
  cluster_config config;
  for (int i = 0; i < executors; ++i) {
    vm_config vm;
    vm.name = "e" + std::to_string(i);
    vm.address = "127.0.0.1:" + std::to_string(7000 + i);
    vm.kind = vm_kind::kExecutor;
    config.vms.push_back(vm);
  }
  return config;
}

struct table_fixture {
  table_fixture() {
    table.Configure(MakeConfig(3));
    table.SetGatewayCount(8);
  }
  // Sends a request to e0 that ends with `outcome`. Returns false when e0 may not get it.
  bool SendToFirst(attempt_outcome outcome, routing_time now) {
    for (int i = 0; i < 100; ++i) {
      const auto target = table.Choose({{"e1", "e2"}, true, false}, now, random);
      if (!target.has_value()) return false;
      table.Start(*target);
      table.Finish(*target, outcome, std::nullopt, now);
      return true;
    }
    return false;
  }

  std::mt19937_64 random{1};
  target_table table{{}};
};

// Guards against a target that attracts load because it fails fast.
TEST_CASE_METHOD(table_fixture, "a failing target gets one probe at a time", "[target_table]") {
  for (int i = 0; i < 3; ++i) CHECK(SendToFirst(attempt_outcome::kFailed, kStart));
  CHECK_FALSE(SendToFirst(attempt_outcome::kFailed, kStart + milliseconds(499)));
  const target_request only_first{{"e1", "e2"}, true, false};
  const routing_time due = kStart + milliseconds(500);
  const auto probe = table.Choose(only_first, due, random);
  REQUIRE(probe.has_value());
  CHECK(probe->probe);
  table.Start(*probe);
  CHECK_FALSE(table.Choose(only_first, due, random).has_value());
  table.Finish(*probe, attempt_outcome::kFailed, std::nullopt, due);
  // The delay before the next probe has doubled from 500 ms to 1000 ms.
  CHECK_FALSE(table.Choose(only_first, due + milliseconds(999), random).has_value());
  const auto second = table.Choose(only_first, due + milliseconds(1000), random);
  REQUIRE(second.has_value());
  table.Start(*second);
  table.Finish(*second, attempt_outcome::kResponded, std::nullopt, due + milliseconds(1000));
  CHECK_FALSE(table.Choose(only_first, due + milliseconds(1000), random)->probe);
}

// Guards against sending a request that must not be repeated to a target whose health is uncertain.
TEST_CASE_METHOD(table_fixture, "a request that may not probe is not sent to a target on probation",
                 "[target_table]") {
  for (int i = 0; i < 3; ++i) SendToFirst(attempt_outcome::kFailed, kStart);
  CHECK_FALSE(table.Choose({{"e1", "e2"}, false, false}, kStart + std::chrono::hours(1), random).has_value());
}

TEST_CASE_METHOD(table_fixture, "a leaving or drained target gets no requests", "[target_table]") {
  table.SetListedLeaving({"e0"});
  CHECK_FALSE(SendToFirst(attempt_outcome::kResponded, kStart));
  table.SetListedLeaving({});
  CHECK(SendToFirst(attempt_outcome::kLeaving, kStart));
  CHECK_FALSE(SendToFirst(attempt_outcome::kResponded, kStart));
  REQUIRE(table.ReportedLeaving().size() == 1);
  table.RecordServing(table.ReportedLeaving().front());
  CHECK(SendToFirst(attempt_outcome::kResponded, kStart));
  cluster_config drained = MakeConfig(3);
  drained.vms[0].drained = true;
  table.Configure(drained);
  CHECK_FALSE(SendToFirst(attempt_outcome::kResponded, kStart));
}

// Guards against a gateway that occupies every slot of a target that other gateways use too, and against one
// that leaves slots idle that no other gateway uses.
TEST_CASE_METHOD(table_fixture, "beyond its share a gateway uses only free slots", "[target_table]") {
  const target_request only_first{{"e1", "e2"}, true, false};
  const auto first = table.Choose(only_first, kStart, random);
  table.Start(*first);
  table.Finish(*first, attempt_outcome::kResponded, 6, kStart);
  int started = 0;
  while (const auto target = table.Choose(only_first, kStart, random)) {
    table.Start(*target);
    ++started;
  }
  CHECK(started == 2);
  // The load report is too old by now and is ignored.
  const routing_time later = kStart + std::chrono::seconds(1);
  while (const auto target = table.Choose(only_first, later, random)) {
    table.Start(*target);
    ++started;
  }
  CHECK(started == 8);
}

// Guards against retries that multiply the traffic to a target during an outage.
TEST_CASE_METHOD(table_fixture, "retries to a target stay within its budget", "[target_table]") {
  int first_attempts = 0;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    for (const bool retry : {false, true}) {
      const auto target = table.Choose({{"e1", "e2"}, true, retry}, kStart, random);
      if (!target.has_value()) continue;
      (retry ? retries : first_attempts) += 1;
      table.Start(*target);
      table.Finish(*target, attempt_outcome::kNeutral, std::nullopt, kStart);
    }
  }
  CHECK(first_attempts == 1000);
  CHECK(retries <= 200 + 5);
}

// Guards against a rate limit that never admits a workspace whose share is a fraction of a token.
TEST_CASE("a token bucket admits events up to its rate and burst", "[token_bucket]") {
  token_bucket bucket(10, 5);
  int admitted = 0;
  for (int ms = 0; ms < 10000; ++ms) admitted += bucket.TryConsume(kStart + milliseconds(ms)) ? 1 : 0;
  CHECK(admitted >= 104);
  CHECK(admitted <= 106);
  token_bucket unlimited(0, 0);
  for (int i = 0; i < 100; ++i) CHECK(unlimited.TryConsume(kStart));
}

TEST_CASE("urgent requests leave the queue before patient ones", "[admission_queue]") {
  admission_queue queue;
  const auto patient = queue.Add(priority::kPatient, {});
  const auto urgent = queue.Add(priority::kUrgent, {});
  const auto normal = queue.Add(priority::kNormal, {});
  CHECK(queue.HasWaiting(priority::kUrgent));
  std::vector<admission_queue::ticket> order;
  queue.Serve([&](admission_queue::ticket id, const target_request&) {
    order.push_back(id);
    return true;
  });
  CHECK(order == std::vector<admission_queue::ticket>{urgent, normal, patient});
  CHECK_FALSE(queue.HasWaiting(priority::kPatient));
}

// Guards against callers that wait for their whole time limit under overload and are then refused.
TEST_CASE("a request that would expire in the queue is refused early", "[admission_queue]") {
  admission_queue queue;
  for (int i = 0; i < 100; ++i) queue.RecordCompletion(kStart + milliseconds(i * 10));
  for (int i = 0; i < 100; ++i) queue.Add(priority::kPatient, {});
  const routing_time now = kStart + milliseconds(999);
  CHECK(queue.WouldExpire(priority::kPatient, milliseconds(500), now));
  CHECK_FALSE(queue.WouldExpire(priority::kPatient, milliseconds(2000), now));
  CHECK_FALSE(queue.WouldExpire(priority::kUrgent, milliseconds(500), now));
}

}  // namespace
}  // namespace hickorystall::state
