#include "state/ranked_mutex.h"

#include <cassert>
#include <vector>

namespace hickorystall::state {
namespace {

// Ranks of the mutexes that this thread holds, in the order in which it locked them.
thread_local std::vector<lock_rank> held_ranks;

}  // namespace

void ranked_mutex::lock() {
  assert(held_ranks.empty() || held_ranks.back() < rank_);
  mutex_.lock();
  held_ranks.push_back(rank_);
}

void ranked_mutex::unlock() {
  assert(!held_ranks.empty() && held_ranks.back() == rank_);
  held_ranks.pop_back();
  mutex_.unlock();
}

}  // namespace hickorystall::state
