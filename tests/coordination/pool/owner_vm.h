#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "coordination/pool/memory_store.h"
#include "coordination/pool/pool_owner.h"

namespace hickorystall::tests {

/// Tables of the test registrations and the test configuration.
inline constexpr char kRegistryTable[] = "registry";
inline constexpr char kConfigTable[] = "config";
/// Value of a registration whose decoder throws.
inline constexpr char kUndecodable[] = "undecodable";

/// Returns settings with which the ownership changes within a tenth of a second.
coordination::pool::ownership_settings TestOwnership();
/// Returns settings with which tests may use all accelerators.
state::pool::pool_settings TestPool();
/// Submits a job with the given id and one task that uses all accelerators of a worker.
void SubmitTask(memory_store& store, const std::string& id);
/// Waits until `holds` returns true, at most `limit`. Returns whether it does.
boost::asio::awaitable<bool> WaitUntil(std::function<bool()> holds,
                                       std::chrono::milliseconds limit = std::chrono::milliseconds(2000));

/// A VM that may own the pool, with a real ownership, config_follower and pool_owner on the event loop of a
/// test. Its registrations name workers with 8 accelerators of the service "s"; its configuration has the
/// queue "q".
class owner_vm {
 public:
  /// The incarnation in `ownership` is the name with `-1` unless it is set. `store` and `workers` must
  /// outlive `loop`.
  owner_vm(const std::string& name, coordination::pool::ownership_settings ownership,
           state::pool::pool_settings pool, coordination::pool::pool_store& store,
           coordination::pool::worker_orders& workers, boost::asio::io_context& loop);

  /// Ends the VM as a power failure does: nothing is released. The object must not be destroyed before the
  /// loop has ended.
  void Kill();
  /// Shuts the VM down: it releases the ownership.
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
