#include "coordination/pool/call_relay.h"

#include <algorithm>

#include "transport/boot_clock.h"

namespace hickorystall::coordination::pool {

using std::chrono::milliseconds;
using transport::BootNow;

namespace {

// Timeout of a call to one VM, which responds as soon as its own call to the store has ended.
constexpr milliseconds kPeerTimeout{500};
// Maximum number of VMs that are tried for one call.
constexpr std::size_t kMaxPeers = 3;
// Time reserved for the response to reach the client.
constexpr milliseconds kResponseMargin{150};
// From this status on, a VM has not decided the call.
constexpr int kFirstServerError = 500;
// Status of a VM that does not know whether it has executed the call.
constexpr int kUnknownOutcome = 504;

}  // namespace

boost::asio::awaitable<relay_outcome> call_relay::Relay(transport::http_request request,
                                                        state::pool::boot_time deadline,
                                                        response_check check) {
  const std::vector<std::string> candidates = peers_.Candidates();
  const std::size_t count = std::min(candidates.size(), kMaxPeers);
  relay_outcome outcome;
  for (std::size_t i = 0; i < count; ++i) {
    const milliseconds left = deadline - BootNow() - kResponseMargin;
    if (left <= milliseconds(0)) break;
    transport::http_request copy = request;
    transport::http_exchange exchange =
        co_await client_.Send(candidates[i], std::move(copy), std::min(left, kPeerTimeout));
    const bool responded = exchange.status.ok();
    const verdict said = responded && check ? check(exchange.response) : verdict::kByStatus;
    const bool accepted = responded && said != verdict::kNotAccepted;
    const bool decided =
        accepted && (said == verdict::kDecided || exchange.response.status < kFirstServerError);
    peers_.HandleOutcome(candidates[i], decided);
    if (decided) {
      outcome.response = std::move(exchange.response);
      co_return outcome;
    }
    // A response that is not accepted may be the success of a call that was executed.
    const bool unknown = accepted    ? exchange.response.status == kUnknownOutcome
                         : responded ? exchange.response.status < kFirstServerError
                                     : exchange.bytes_sent;
    outcome.outcome_unknown = outcome.outcome_unknown || unknown;
  }
  co_return outcome;
}

}  // namespace hickorystall::coordination::pool
