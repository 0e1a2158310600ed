#include "tests/support/harness/balanced_load.h"

#include <random>

namespace hickorystall::harness {

using std::chrono::milliseconds;

namespace {

// Pause between two rounds of readiness probes.
constexpr milliseconds kCheckInterval{50};

bool ReportsNotRun(const test_response& response) {
  const nlohmann::json body = response.Json();
  return body.is_object() && body.contains("error") && body["error"].value("ran", "") == "no";
}

}  // namespace

balanced_load::balanced_load(std::vector<int> gateway_ports, int callers, milliseconds max_pause,
                             request_maker make_request)
    : ports_(std::move(gateway_ports)), max_pause_(max_pause), make_request_(std::move(make_request)) {
  for (std::size_t i = 0; i < ports_.size(); ++i) ready_.push_back(std::make_unique<std::atomic<bool>>(true));
  threads_.reserve(static_cast<std::size_t>(callers) + 1);
  threads_.emplace_back([this] { CheckReadiness(); });
  for (int i = 0; i < callers; ++i) threads_.emplace_back([this, i] { RunCaller(i); });
}

balanced_load::~balanced_load() { Finish(); }

load_report balanced_load::Finish() {
  stop_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
  return report_;
}

std::int64_t balanced_load::answered() const {
  const std::lock_guard lock(mutex_);
  return report_.answered;
}

void balanced_load::CheckReadiness() {
  while (!stop_) {
    for (std::size_t i = 0; i < ports_.size(); ++i) {
      *ready_[i] = SendOnce(ports_[i], {"GET", "/ready", {}, ""}, milliseconds(1000)).status == 200;
    }
    std::this_thread::sleep_for(kCheckInterval);
  }
}

// Returns the index of the first ready gateway from position `turn` in round-robin order, or of the gateway
// at that position when none is ready.
int balanced_load::ChooseGateway(std::int64_t turn) const {
  const auto size = static_cast<std::int64_t>(ports_.size());
  for (std::int64_t i = 0; i < size; ++i) {
    const auto index = static_cast<std::size_t>((turn + i) % size);
    if (*ready_[index]) return static_cast<int>(index);
  }
  return static_cast<int>(turn % size);
}

void balanced_load::RunCaller(int number) {
  std::minstd_rand random(static_cast<std::minstd_rand::result_type>(number + 1));
  std::vector<std::unique_ptr<test_connection>> connections;
  for (const int port : ports_) connections.push_back(std::make_unique<test_connection>(port));
  while (!stop_) {
    const std::int64_t index = next_index_++;
    const transport::http_request request = make_request_(index);
    {
      const std::lock_guard lock(mutex_);
      ++report_.requests;
    }
    for (std::int64_t turn = index;
         !SendTo(*connections[static_cast<std::size_t>(ChooseGateway(turn))], request); ++turn) {
      PauseBetweenChecks();
    }
    std::this_thread::sleep_for(
        milliseconds(std::uniform_int_distribution<std::int64_t>(0, max_pause_.count())(random)));
  }
}

// Sends the request once and counts the result. Returns false when the request did not run and must be sent
// again.
bool balanced_load::SendTo(test_connection& connection, const transport::http_request& request) {
  const test_response response = connection.Send(request, std::chrono::seconds(20));
  const std::lock_guard lock(mutex_);
  if (response.status == 200) {
    ++report_.answered;
    return true;
  }
  if (response.status == 0) {
    ++(response.bytes_sent ? report_.interrupted : report_.not_connected);
    return response.bytes_sent;
  }
  if (ReportsNotRun(response)) {
    ++report_.refused;
    return false;
  }
  report_.unexpected.push_back(std::to_string(response.status) + " " + response.body);
  return true;
}

}  // namespace hickorystall::harness
