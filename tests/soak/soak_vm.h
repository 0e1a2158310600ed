#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "coordination/pool/pool_owner.h"

namespace hickorystall::tests {

/// Tables of the soak's registrations and configuration.
inline constexpr char kRegistryTable[] = "registry";
inline constexpr char kConfigTable[] = "config";

/// Returns the stored registration of a worker.
std::string EncodeRegistration(const std::string& address, std::int64_t incarnation, const std::string& rack);

/// A VM that may own the pool, with a real ownership, config_follower and pool_owner. Unlike `owner_vm`, it
/// reads the racks of workers and shows the state of the owner. Its configuration has the queue "q".
class soak_vm {
 public:
  /// `ownership.incarnation` must be unique in the process. `store` and `workers` must outlive `loop`.
  soak_vm(const std::string& name, coordination::pool::ownership_settings ownership,
          state::pool::pool_settings pool, coordination::pool::pool_store& store,
          coordination::pool::worker_orders& workers, boost::asio::io_context& loop);

  /// Ends the VM as a power failure does: nothing is released. The object must not be destroyed before the
  /// loop has ended.
  void Kill();
  /// Shuts the VM down: it releases the ownership.
  void Leave();
  /// The state of the pool while this VM owns it; null otherwise.
  const state::pool::pool_state* state() const { return owner_ == nullptr ? nullptr : &owner_->state(); }

 private:
  coordination::pool::event_log log_;
  transport::smoothed_wall_clock wall_clock_;
  coordination::pool::config_follower config_;
  coordination::pool::ownership ownership_;
  std::shared_ptr<coordination::pool::pool_owner> owner_;
};

}  // namespace hickorystall::tests
