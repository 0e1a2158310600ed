#include "protocol/job_codec.h"

#include <catch2/catch.hpp>

namespace hickorystall::protocol {
namespace {

// Guards against fields that are lost when a new owner reads the job records of the previous one.
TEST_CASE("a job record is unchanged after encoding and decoding", "[job_codec]") {
  state::job_record record;
  record.id = "j1";
  record.workspace = "w";
  record.spec = {
      "match", 4,    8,    16, 2048, state::adjacency::kRack, std::chrono::hours(2), std::chrono::hours(8),
      true,    true, false};
  record.state = state::job_state::kRunning;
  record.attempt = 3;
  record.placement = {{"vm1", {0, 1}}, {"vm2", {4, 5}}};
  record.checkpoints = {"c0", "c1"};
  record.preserved = std::chrono::minutes(3);
  const auto decoded = DecodeJobRecord(EncodeJobRecord(record, "token"));
  REQUIRE(decoded.ok());
  CHECK(JobToJson(*decoded) == JobToJson(record));
}

TEST_CASE("errors in a job spec name the line and key of each invalid value", "[job_codec]") {
  const auto spec = ParseJobSpec("{\"kind\":\"k\",\n\"members\":0,\n\"accelerators\":99999999999999999999}");
  REQUIRE_FALSE(spec.ok());
  CHECK(std::string(spec.status().message()).find("line 2: members") != std::string::npos);
  CHECK(std::string(spec.status().message()).find("line 3: accelerators") != std::string::npos);
}

}  // namespace
}  // namespace hickorystall::protocol
