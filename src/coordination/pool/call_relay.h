#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>

#include "coordination/pool/peer_directory.h"
#include "state/pool/pool_time.h"
#include "transport/http_client.h"

namespace hickorystall::coordination::pool {

/// Result of a relayed call.
struct relay_outcome {
  /// Response of the VM that decided the call; empty when none did.
  std::optional<transport::http_response> response;
  /// True when a VM that did not decide the call may have executed it.
  bool outcome_unknown = false;
};

/// Forwards a client's call to another VM when this one cannot reach the store. Calls about jobs may be
/// repeated at any VM, so the other VM also settles a call that this VM has sent to the store without
/// receiving a reply.
class call_relay {
 public:
  /// The arguments must outlive the relay.
  call_relay(transport::http_client& client, peer_directory& peers) : client_(client), peers_(peers) {}

  /// What a VM's response means for a call.
  enum class verdict {
    /// The status says whether the VM has decided the call.
    kByStatus,
    /// The VM has decided the call, whatever the status.
    kDecided,
    /// The VM was not able to decide the call, whatever the status.
    kNotAccepted,
  };
  using response_check = std::function<verdict(const transport::http_response&)>;

  /// Tries several VMs until one decides the call, by serving or permanently refusing it, or until
  /// `deadline`. `check` is called for each response.
  boost::asio::awaitable<relay_outcome> Relay(transport::http_request request,
                                              state::pool::boot_time deadline,
                                              response_check check = nullptr);

 private:
  transport::http_client& client_;
  peer_directory& peers_;
};

}  // namespace hickorystall::coordination::pool
