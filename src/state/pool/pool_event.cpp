#include "state/pool/pool_event.h"

#include <array>
#include <cstddef>

namespace hickorystall::state::pool {
namespace {

// Indexed by pool_event_kind.
constexpr std::array<std::string_view, 21> kNames{
    "job added",          "job completed",  "job failed",   "job cancelled",  "start ordered",
    "start refused",      "run done",       "run failed",   "run stopped",    "run lost",
    "stop ordered",       "worker listed",  "worker drain", "worker gone",    "worker restart",
    "worker unreachable", "worker avoided", "foreign run",  "start too slow", "evacuation begun",
    "evacuation ended"};

}  // namespace

std::string_view PoolEventName(pool_event_kind kind) { return kNames[static_cast<std::size_t>(kind)]; }

}  // namespace hickorystall::state::pool
