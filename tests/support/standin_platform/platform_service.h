#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "memory_table.h"
#include "transport/http_message.h"

namespace hickorystall::standin {

/// In-memory implementation of the platform's table service, object store and VM list (docs/design.md,
/// section 4.1) with a control API that injects faults:
///
/// - `POST /control {"mode":"up"}`: normal service.
/// - `{"mode":"down","answer":"hang"|"refuse","duration_ms":N}`: requests have no effect. They get no
///   response until the mode ends, or 503 at once. Without a duration the mode lasts until the next change.
/// - `{"mode":"slow","delay_ms":N,"duration_ms":N}`: each request takes N ms and takes effect after
///   half of that time.
/// - `{"mode":"lose_replies","count":N,"prefix":"claim/"}`: the next N transactions that put or delete a key
///   with the prefix (any by default) take effect, and their connections are closed without a
///   response.
/// - `{"vms":[{"name","state"}],"vm_lag_ms":N}`: sets the state of VMs ("gone" removes one); the list shows
///   the change after the lag.
/// - `GET /control`: the mode and the counters.
///
/// Not thread-safe: all calls are made on one event loop.
class platform_service {
 public:
  using clock = std::chrono::steady_clock;

  explicit platform_service(std::chrono::milliseconds vm_lag) : vm_lag_(vm_lag) {}

  /// Handles a request of the platform API or of the control API.
  boost::asio::awaitable<transport::http_response> Handle(transport::http_request request);

 private:
  enum class service_mode { kUp, kDownHang, kDownRefuse, kSlow };
  struct vm_change {
    clock::time_point visible_at;
    std::string name;
    std::string state;
  };

  service_mode mode();
  boost::asio::awaitable<transport::http_response> HangUntilModeEnds();
  transport::http_response Serve(const transport::http_request& request);
  transport::http_response Transact(const transport::http_request& request);
  transport::http_response ServeObject(const transport::http_request& request);
  transport::http_response ListVms();
  transport::http_response Control(const transport::http_request& request);
  transport::http_response Report();
  void SetMode(const nlohmann::json& body);
  bool ShouldLoseReply(const nlohmann::json& transaction);

  memory_table table_;
  std::map<std::string, std::string> objects_;
  std::map<std::string, std::string> vms_;
  std::deque<vm_change> pending_vm_changes_;
  std::chrono::milliseconds vm_lag_;

  service_mode mode_ = service_mode::kUp;
  clock::time_point mode_end_ = clock::time_point::max();
  std::chrono::milliseconds delay_{0};
  int replies_to_lose_ = 0;
  std::string lost_reply_prefix_;

  std::int64_t reads_ = 0;
  std::int64_t writes_ = 0;
  std::int64_t conflicts_ = 0;
  std::int64_t lost_replies_ = 0;
  std::int64_t unserved_ = 0;
  // Number of rows put, by the first segment of their keys.
  std::map<std::string, std::int64_t> puts_;
};

}  // namespace hickorystall::standin
