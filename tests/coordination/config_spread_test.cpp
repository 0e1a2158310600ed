#include <algorithm>
#include <catch2/catch.hpp>
#include <numeric>
#include <random>
#include <vector>

// Compares two ways of distributing an accepted version to the processes of the system by the number of
// messages and hops (docs/design.md, section 7). Both are models of message exchange without time.

namespace hickorystall::coordination {
namespace {

constexpr int kProcesses = 8 * 3;
// A session offers the version and finds out whether it is wanted before the document is sent.
constexpr int kMessagesBeforeDocument = 2;

// Cost until every process holds the version.
struct spread_cost {
  // Total number of messages.
  int messages = 0;
  // Number of messages that carry the document.
  int documents = 0;
  // Longest chain of messages from the acceptance to a process that adopts the version.
  int longest_chain = 0;
  // Steps of sending after which the quarter of the processes with the highest demand holds the version.
  int chain_to_quarter = 0;
};

// The process that accepted the version sends it to every other process; each confirms.
spread_cost PlainPush() {
  const int others = kProcesses - 1;
  return {2 * others, others, 1, 1};
}

// Every holder opens one session per round with the neighbor of highest demand that it does not know to hold
// the version: an offer, the reply whether it is wanted, and the document if it is. Two holders may choose
// the same neighbor, because no holder knows of the others' sessions.
spread_cost DemandOrdered(unsigned seed) {
  std::minstd_rand generator(seed);
  std::vector<int> by_demand(kProcesses);
  std::iota(by_demand.begin(), by_demand.end(), 0);
  std::shuffle(by_demand.begin(), by_demand.end(), generator);
  std::vector<int> holders{by_demand[generator() % kProcesses]};
  std::vector<std::vector<bool>> knows(kProcesses, std::vector<bool>(kProcesses, false));
  std::vector<bool> holds(kProcesses, false);
  holds[holders[0]] = true;
  spread_cost cost;
  for (int round = 0; holders.size() < kProcesses; ++round) {
    std::vector<int> new_holders;
    for (const int holder : holders) {
      const auto target = std::find_if(by_demand.begin(), by_demand.end(), [&](int process) {
        return process != holder && !knows[holder][process];
      });
      if (target == by_demand.end()) continue;
      knows[holder][*target] = true;
      cost.messages += kMessagesBeforeDocument;
      if (holds[*target]) continue;
      // The new holder learns from the session which process sent the version.
      knows[*target][holder] = true;
      holds[*target] = true;
      new_holders.push_back(*target);
      ++cost.messages;
      ++cost.documents;
    }
    holders.insert(holders.end(), new_holders.begin(), new_holders.end());
    cost.longest_chain += kMessagesBeforeDocument + 1;
    const bool quarter_done = std::all_of(by_demand.begin(), by_demand.begin() + kProcesses / 4,
                                          [&](int process) { return holds[process]; });
    if (quarter_done && cost.chain_to_quarter == 0) cost.chain_to_quarter = cost.longest_chain;
  }
  return cost;
}

// Lower bound for any anti-entropy: no session goes to a process that holds the version, so the number of
// holders doubles in each round.
spread_cost DemandOrderedAtBest() {
  spread_cost cost;
  for (int holders = 1; holders < kProcesses;) {
    const int sessions = std::min(holders, kProcesses - holders);
    cost.messages += sessions * (kMessagesBeforeDocument + 1);
    cost.documents += sessions;
    cost.longest_chain += kMessagesBeforeDocument + 1;
    holders += sessions;
    if (holders >= kProcesses / 4 && cost.chain_to_quarter == 0) cost.chain_to_quarter = cost.longest_chain;
  }
  return cost;
}

// Guards against replacing the plain push by a distribution that needs more messages or a longer chain at
// this size.
TEST_CASE("the plain push needs fewer messages and hops than demand-ordered anti-entropy",
          "[config_spread]") {
  const spread_cost push = PlainPush();
  CHECK(push.messages == 46);
  const spread_cost best = DemandOrderedAtBest();
  CHECK(best.messages >= push.messages);
  CHECK(best.chain_to_quarter >= push.chain_to_quarter);
  CHECK(best.longest_chain >= push.longest_chain);
  spread_cost least{1 << 20, 1 << 20, 1 << 20, 1 << 20};
  spread_cost most;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    const spread_cost cost = DemandOrdered(seed);
    least.messages = std::min(least.messages, cost.messages);
    least.longest_chain = std::min(least.longest_chain, cost.longest_chain);
    least.chain_to_quarter = std::min(least.chain_to_quarter, cost.chain_to_quarter);
    most.messages = std::max(most.messages, cost.messages);
    most.longest_chain = std::max(most.longest_chain, cost.longest_chain);
    most.chain_to_quarter = std::max(most.chain_to_quarter, cost.chain_to_quarter);
    CHECK(cost.documents == push.documents);
    CHECK(cost.messages >= push.messages);
    CHECK(cost.chain_to_quarter >= push.chain_to_quarter);
  }
  WARN("24 processes: push " << push.messages << " messages, chain " << push.longest_chain
                             << "; demand-ordered at best " << best.messages << " messages, chain "
                             << best.longest_chain << ", to the most demanded quarter "
                             << best.chain_to_quarter
                             << "; without knowledge of others' sessions, over 200 seeds " << least.messages
                             << " to " << most.messages << " messages, chain " << least.longest_chain
                             << " to " << most.longest_chain << ", to the most demanded quarter "
                             << least.chain_to_quarter << " to " << most.chain_to_quarter);
}

}  // namespace
}  // namespace hickorystall::coordination
