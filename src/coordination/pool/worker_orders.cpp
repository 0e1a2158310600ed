#include "coordination/pool/worker_orders.h"

#include <array>
#include <cstddef>

namespace hickorystall::coordination::pool {
namespace {

// Indexed by order_outcome.
constexpr std::array<std::string_view, 7> kNames{"done",       "fenced",   "refused",  "unhealthy",
                                                 "other_life", "not_sent", "no_answer"};

}  // namespace

std::string_view OrderOutcomeName(order_outcome outcome) { return kNames[static_cast<std::size_t>(outcome)]; }

}  // namespace hickorystall::coordination::pool
