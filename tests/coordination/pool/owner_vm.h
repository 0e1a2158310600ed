#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "coordination/pool/pool_owner.h"

namespace hickorystall::tests {

/// Tables of the stand-ins for registrations and configuration.
inline constexpr char kRegistryTable[] = "registry";
inline constexpr char kConfigTable[] = "config";

/// One VM that may own the pool, with the product's ownership, configuration and owner on a test's loop. Its
/// registrations name workers of 8 accelerators of the service "s"; its configuration has the queue "q".
class owner_vm {
 public:
  /// `life` of `ownership` is the name with `-1` unless it is set. All but the settings must outlive the
  /// loop.
  owner_vm(const std::string& name, coordination::pool::ownership_settings ownership,
           state::pool::pool_settings pool, coordination::pool::pool_store& store,
           coordination::pool::worker_orders& workers, boost::asio::io_context& loop);

  /// Ends the VM as a loss of power does: nothing is released. The object must stay until the loop has ended.
  void Kill();
  /// Ends the VM as planned: it releases the ownership.
  void Leave();
  /// True while it owns the pool.
  bool is_owner() const { return owner_ != nullptr; }

 private:
  coordination::pool::event_log log_;
  transport::smoothed_wall_clock wall_clock_;
  coordination::pool::config_follower config_;
  coordination::pool::ownership ownership_;
  std::shared_ptr<coordination::pool::pool_owner> owner_;
};

}  // namespace hickorystall::tests
