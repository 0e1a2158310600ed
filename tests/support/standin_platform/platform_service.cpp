#include "platform_service.h"

#include <algorithm>

#include "transport/async_event.h"

namespace hickorystall::standin {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::http_request;
using transport::http_response;
using transport::JsonResponse;

namespace {

constexpr std::string_view kObjectPrefix = "/v1/objects/";
constexpr std::size_t kMaxScanRows = 1000;
// Interval at which a request that hangs checks whether the outage has ended.
constexpr milliseconds kHangCheckInterval{20};

http_response ErrorResponse(int status, const std::string& message) {
  return JsonResponse(status, json{{"error", message}}.dump());
}

// Returns the response with status 0, for which the server closes the connection without sending anything.
http_response CloseWithoutResponse() { return {0, {}, ""}; }

std::size_t ScanLimit(const http_request& request) {
  const int limit = std::atoi(request.QueryParameter("limit").c_str());
  return limit < 1 ? kMaxScanRows : std::min(static_cast<std::size_t>(limit), kMaxScanRows);
}

}  // namespace

platform_service::service_mode platform_service::mode() {
  if (clock::now() >= mode_end_) {
    mode_ = service_mode::kUp;
    mode_end_ = clock::time_point::max();
  }
  return mode_;
}

asio::awaitable<http_response> platform_service::Handle(http_request request) {
  if (request.path() == "/control") co_return Control(request);
  switch (mode()) {
    case service_mode::kUp:
      co_return Serve(request);
    case service_mode::kDownHang:
      ++unserved_;
      co_return co_await HangUntilModeEnds();
    case service_mode::kDownRefuse:
      ++unserved_;
      co_return ErrorResponse(503, "the store is down");
    case service_mode::kSlow:
      break;
  }
  const milliseconds half = delay_ / 2;
  co_await transport::Sleep(half);
  http_response response = Serve(request);
  co_await transport::Sleep(half);
  co_return response;
}

asio::awaitable<http_response> platform_service::HangUntilModeEnds() {
  while (mode() == service_mode::kDownHang) co_await transport::Sleep(kHangCheckInterval);
  co_return CloseWithoutResponse();
}

http_response platform_service::Serve(const http_request& request) {
  const std::string_view path = request.path();
  if (path == "/v1/transact" && request.method == "POST") return Transact(request);
  if (path == "/v1/rows" && request.method == "GET") {
    ++reads_;
    const json row = table_.Read(request.QueryParameter("key"));
    return row.is_null() ? ErrorResponse(404, "no such row") : JsonResponse(200, row.dump());
  }
  if (path == "/v1/scan" && request.method == "GET") {
    ++reads_;
    return JsonResponse(
        200,
        table_.Scan(request.QueryParameter("prefix"), request.QueryParameter("after"), ScanLimit(request))
            .dump());
  }
  if (path.starts_with(kObjectPrefix)) return ServeObject(request);
  if (path == "/v1/vms" && request.method == "GET") return ListVms();
  return ErrorResponse(404, "no such path");
}

http_response platform_service::Transact(const http_request& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return ErrorResponse(400, "the body is not a JSON object");
  memory_table::transact_result result;
  try {
    result = table_.Transact(body);
  } catch (const json::exception& error) {
    return ErrorResponse(400, error.what());
  }
  ++writes_;
  if (result.commit == 0) {
    ++conflicts_;
    return JsonResponse(409, json{{"conflicts", result.conflicts}}.dump());
  }
  for (const json& put : body.value("puts", json::array())) {
    const std::string key = put.at("key");
    ++puts_[key.substr(0, key.find('/'))];
  }
  if (ShouldLoseReply(body)) return CloseWithoutResponse();
  return JsonResponse(200, json{{"commit", result.commit}}.dump());
}

bool platform_service::ShouldLoseReply(const json& transaction) {
  if (replies_to_lose_ == 0) return false;
  bool matches = false;
  for (const json& put : transaction.value("puts", json::array())) {
    matches = matches || put.at("key").get<std::string>().starts_with(lost_reply_prefix_);
  }
  for (const json& key : transaction.value("deletes", json::array())) {
    matches = matches || key.get<std::string>().starts_with(lost_reply_prefix_);
  }
  if (!matches) return false;
  --replies_to_lose_;
  ++lost_replies_;
  return true;
}

http_response platform_service::ServeObject(const http_request& request) {
  const std::string name = transport::PercentDecode(request.path().substr(kObjectPrefix.size()));
  if (request.method == "PUT") {
    ++writes_;
    objects_[name] = request.body;
    return JsonResponse(200, "{}");
  }
  if (request.method == "DELETE") {
    ++writes_;
    objects_.erase(name);
    return JsonResponse(200, "{}");
  }
  ++reads_;
  const auto found = objects_.find(name);
  if (found == objects_.end()) return ErrorResponse(404, "no such object");
  return {200, {{"Content-Type", "application/octet-stream"}}, found->second};
}

http_response platform_service::ListVms() {
  ++reads_;
  const clock::time_point now = clock::now();
  while (!pending_vm_changes_.empty() && pending_vm_changes_.front().visible_at <= now) {
    vm_change& change = pending_vm_changes_.front();
    if (change.state == "gone") {
      vms_.erase(change.name);
    } else {
      vms_[change.name] = change.state;
    }
    pending_vm_changes_.pop_front();
  }
  json list = json::array();
  for (const auto& [name, state] : vms_) list.push_back({{"name", name}, {"state", state}});
  return JsonResponse(200, json{{"vms", std::move(list)}}.dump());
}

http_response platform_service::Control(const http_request& request) {
  if (request.method == "GET") return Report();
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return ErrorResponse(400, "the body is not a JSON object");
  try {
    vm_lag_ = milliseconds(body.value("vm_lag_ms", vm_lag_.count()));
    for (const json& vm : body.value("vms", json::array())) {
      pending_vm_changes_.push_back({clock::now() + vm_lag_, vm.at("name"), vm.at("state")});
    }
    if (body.contains("mode")) SetMode(body);
  } catch (const json::exception& error) {
    return ErrorResponse(400, error.what());
  }
  return Report();
}

void platform_service::SetMode(const json& body) {
  const std::string name = body.at("mode");
  if (name == "lose_replies") {
    replies_to_lose_ = body.value("count", 1);
    lost_reply_prefix_ = body.value("prefix", "");
    return;
  }
  const std::map<std::string, service_mode> modes = {
      {"up", service_mode::kUp},
      {"slow", service_mode::kSlow},
      {"down",
       body.value("answer", "hang") == "refuse" ? service_mode::kDownRefuse : service_mode::kDownHang}};
  if (!modes.contains(name)) throw json::other_error::create(501, "unknown mode " + name, &body);
  mode_ = modes.at(name);
  delay_ = milliseconds(body.value("delay_ms", 0));
  const int duration = body.value("duration_ms", 0);
  mode_end_ = duration > 0 ? clock::now() + milliseconds(duration) : clock::time_point::max();
}

http_response platform_service::Report() {
  static constexpr const char* kModeNames[] = {"up", "down", "down", "slow"};
  const json report = {{"mode", kModeNames[static_cast<int>(mode())]},
                       {"reads", reads_},
                       {"writes", writes_},
                       {"transactions", writes_},
                       {"conflicts", conflicts_},
                       {"lost_replies", lost_replies_},
                       {"replies_to_lose", replies_to_lose_},
                       {"unserved", unserved_},
                       {"rows", table_.size()},
                       {"objects", objects_.size()},
                       {"puts", puts_}};
  return JsonResponse(200, report.dump());
}

}  // namespace hickorystall::standin
