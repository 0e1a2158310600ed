#pragma once

#include <memory>

#include "transport/event_loop_pool.h"
#include "transport/http_server.h"

namespace hickorystall::tests {

/// Starts a VM that responds to every relayed call with `status`. With status 0 it responds after 2 s, which
/// is later than the relay waits.
std::unique_ptr<transport::http_server> MakeRelayPeer(transport::event_loop_pool& event_loops, int status);

}  // namespace hickorystall::tests
