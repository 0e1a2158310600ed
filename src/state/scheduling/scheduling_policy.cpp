#include "state/scheduling/scheduling_policy.h"

namespace hickorystall::state {

const scheduling_policy kDefaultPolicy{
    .name = "hickorystall",
    .order = OrderByResponseRatio,
    .placement = &kLeastFragmentation,
    .strict_order = false,
    .reservations = 1,
    .guarantees = true,
    .reclaim_for_urgent = true,
    .defragment = true,
    .learned_run_times = true,
    .refuse_late = true,
    .probation = true,
};

const scheduling_policy kFirstComeFirstServed{
    .name = "first come first served",
    .order = OrderByAge,
    .placement = &kFirstFit,
    .strict_order = true,
};

const scheduling_policy kBestFitBackfill{
    .name = "best fit, backfill",
    .order = OrderByAge,
    .placement = &kBestFit,
};

}  // namespace hickorystall::state
