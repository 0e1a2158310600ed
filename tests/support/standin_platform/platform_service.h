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

/// The platform's table service, object store and VM list (docs/design.md, section 4.1), with a control API
/// that makes them fail:
///
/// - `POST /control {"mode":"up"}`: normal service.
/// - `{"mode":"down","answer":"hang"|"refuse","duration_ms":N}`: requests have no effect; they get no answer
///   or 503 at once. Without a duration the mode lasts until the next one.
/// - `{"mode":"slow","delay_ms":N,"duration_ms":N}`: each request takes N ms; its effect happens halfway.
/// - `{"mode":"lose_replies","count":N,"prefix":"claim/"}`: the next N transactions that put or delete a key
///   with the prefix (any by default) take effect, and the connection is closed without an answer.
/// - `{"vms":[{"name","state"}],"vm_lag_ms":N}`: sets the state of VMs ("gone" removes one); the list shows
///   it after the lag.
/// - `GET /control`: the mode and the counts of requests.
///
/// Runs on one event loop.
class platform_service {
 public:
  using clock = std::chrono::steady_clock;

  explicit platform_service(std::chrono::milliseconds vm_lag) : vm_lag_(vm_lag) {}

  /// Answers one request.
  boost::asio::awaitable<transport::http_response> Handle(transport::http_request request);

 private:
  enum class service_mode { kUp, kDownHang, kDownRefuse, kSlow };
  struct vm_change {
    clock::time_point visible_at;
    std::string name;
    std::string state;
  };

  service_mode mode();
  boost::asio::awaitable<transport::http_response> HangUntilModeChanges();
  transport::http_response Serve(const transport::http_request& request);
  transport::http_response Transact(const transport::http_request& request);
  transport::http_response ServeObject(const transport::http_request& request);
  transport::http_response ListVms();
  transport::http_response Control(const transport::http_request& request);
  transport::http_response Report();
  void SetMode(const nlohmann::json& body);
  bool LosesReply(const nlohmann::json& transaction);

  memory_table table_;
  std::map<std::string, std::string> objects_;
  std::map<std::string, std::string> vms_;
  std::deque<vm_change> pending_vm_changes_;
  std::chrono::milliseconds vm_lag_;

  service_mode mode_ = service_mode::kUp;
  clock::time_point mode_end_ = clock::time_point::max();
  std::chrono::milliseconds delay_{0};
  int replies_to_lose_ = 0;
  std::string lose_prefix_;

  std::int64_t reads_ = 0;
  std::int64_t writes_ = 0;
  std::int64_t conflicts_ = 0;
  std::int64_t lost_replies_ = 0;
  std::int64_t unserved_ = 0;
  // Rows put, by the first segment of the key.
  std::map<std::string, std::int64_t> puts_;
};

}  // namespace hickorystall::standin
