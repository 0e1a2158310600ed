#include "coordination/lease_renewer.h"

#include <catch2/catch.hpp>

namespace hickorystall::coordination {
namespace {

// Guards against workers whose leases no scheduler renews, and against the loss of a peer reassigning the
// workers of other peers.
TEST_CASE("each worker has two renewers and keeps the remaining one when a peer leaves", "[lease_renewer]") {
  const std::vector<std::string> peers{"s1", "s2", "s3", "s4"};
  const std::vector<std::string> remaining{"s1", "s2", "s3"};
  for (int i = 0; i < 200; ++i) {
    const std::string worker = "w" + std::to_string(i);
    int renewers = 0;
    int remaining_renewers = 0;
    for (const std::string& peer : peers) renewers += IsResponsible(peers, peer, worker) ? 1 : 0;
    for (const std::string& peer : remaining) {
      remaining_renewers += IsResponsible(remaining, peer, worker) ? 1 : 0;
      if (IsResponsible(peers, peer, worker)) CHECK(IsResponsible(remaining, peer, worker));
    }
    CHECK(renewers == 2);
    CHECK(remaining_renewers == 2);
  }
}

// Guards against an instance without live peers renewing nothing.
TEST_CASE("a single instance renews for every worker", "[lease_renewer]") {
  CHECK(IsResponsible({}, "s1", "w1"));
  CHECK(IsResponsible({"s1"}, "s1", "w1"));
}

}  // namespace
}  // namespace hickorystall::coordination
