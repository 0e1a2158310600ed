#include "protocol/worker_client.h"

#include <algorithm>
#include <array>

#include "state/text.h"

namespace hickorystall::protocol {

namespace asio = boost::asio;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::array<std::string_view, 6> kTaskStateNames{"held",   "running", "finished",
                                                          "failed", "stopped", "lapsed"};

transport::http_request Post(std::string target, const json& body) {
  return {"POST", std::move(target), {{"Content-Type", "application/json"}}, body.dump()};
}

std::string TaskPath(std::string_view task, std::string_view action) {
  return state::StrCat("/v1/tasks/", transport::PercentEncode(task), "/", action);
}

json LeaseBody(const std::string& lease) { return {{"lease", lease}}; }

worker_task ParseTask(const json& entry) {
  worker_task task;
  task.task = entry.at("task");
  task.lease = entry.at("lease");
  const auto name = entry.at("state").get<std::string>();
  const auto* found = std::find(kTaskStateNames.begin(), kTaskStateNames.end(), name);
  // An unknown state of a newer protocol counts as failed, so that the scheduler stops the task.
  task.state = found == kTaskStateNames.end() ? task_state::kFailed
                                              : static_cast<task_state>(found - kTaskStateNames.begin());
  task.share = entry.value("share", 0.0);
  task.progress = milliseconds(entry.value("progress_ms", std::int64_t{0}));
  task.exit = entry.value("exit", 0);
  task.memory_mib = entry.value("memory_mib", std::int64_t{0});
  return task;
}

}  // namespace

bool IsLive(task_state value) { return value == task_state::kHeld || value == task_state::kRunning; }

std::string_view TaskStateName(task_state value) { return kTaskStateNames[static_cast<std::size_t>(value)]; }

absl::StatusOr<worker_report> ParseWorkerReport(const json& body) {
  try {
    worker_report report;
    report.sequence = body.at("sequence");
    report.incarnation = body.at("incarnation");
    for (const json& entry : body.at("tasks")) report.tasks.push_back(ParseTask(entry));
    return report;
  } catch (const json::exception& error) {
    return absl::DataLossError(state::StrCat("task list: ", error.what()));
  }
}

http_worker_client::http_worker_client(transport::http_client& http) : http_(http) {}

asio::awaitable<absl::StatusOr<json>> http_worker_client::Call(std::string endpoint,
                                                               transport::http_request request,
                                                               milliseconds timeout) {
  const transport::http_exchange exchange = co_await http_.Send(endpoint, std::move(request), timeout);
  if (!exchange.status.ok()) co_return exchange.status;
  const transport::http_response& response = exchange.response;
  if (response.status == 409) co_return absl::AbortedError("the lease is no longer valid");
  if (response.status == 404) co_return absl::NotFoundError("the worker does not know the task");
  if (response.status != 200)
    co_return absl::UnavailableError(state::StrCat("worker answered with status ", response.status));
  json body = json::parse(response.body, nullptr, false);
  if (!body.is_object()) co_return absl::DataLossError("the worker's reply is not a JSON object");
  co_return body;
}

asio::awaitable<absl::Status> http_worker_client::Start(std::string endpoint, task_start start,
                                                        milliseconds timeout) {
  const json body = {{"task", start.task},
                     {"lease", start.lease},
                     {"lease_ms", start.lease_term.count()},
                     {"share", start.share},
                     {"processors", start.processors},
                     {"memory_mib", start.memory_mib},
                     {"accelerators", start.accelerators},
                     {"kind", start.kind},
                     {"run_time_ms", start.run_time.count()},
                     {"checkpoint", start.checkpoint}};
  co_return (co_await Call(endpoint, Post("/v1/tasks", body), timeout)).status();
}

asio::awaitable<absl::Status> http_worker_client::SetShare(std::string endpoint, std::string task,
                                                           std::string lease, double share,
                                                           milliseconds timeout) {
  const json body = {{"lease", lease}, {"share", share}};
  co_return (co_await Call(endpoint, Post(TaskPath(task, "share"), body), timeout)).status();
}

asio::awaitable<absl::StatusOr<task_checkpoint>> http_worker_client::Checkpoint(std::string endpoint,
                                                                                std::string task,
                                                                                std::string lease,
                                                                                milliseconds timeout) {
  const absl::StatusOr<json> body =
      co_await Call(endpoint, Post(TaskPath(task, "checkpoint"), LeaseBody(lease)), timeout);
  if (!body.ok()) co_return body.status();
  const std::string name = body->value("checkpoint", "");
  if (name.empty()) co_return absl::DataLossError("the worker's reply has no checkpoint name");
  co_return task_checkpoint{name, milliseconds(body->value("progress_ms", std::int64_t{0}))};
}

asio::awaitable<absl::Status> http_worker_client::Stop(std::string endpoint, std::string task,
                                                       std::string lease, milliseconds timeout) {
  const absl::Status status =
      (co_await Call(endpoint, Post(TaskPath(task, "stop"), LeaseBody(lease)), timeout)).status();
  // An unknown task or an invalid lease already is the state that the call shall reach.
  co_return absl::IsAborted(status) || absl::IsNotFound(status) ? absl::OkStatus() : status;
}

asio::awaitable<absl::StatusOr<lease_renewal>> http_worker_client::Renew(std::string endpoint,
                                                                         std::vector<std::string> leases,
                                                                         milliseconds term,
                                                                         milliseconds timeout) {
  const json request = {{"leases", leases}, {"lease_ms", term.count()}};
  const absl::StatusOr<json> body = co_await Call(endpoint, Post("/v1/leases/renew", request), timeout);
  if (!body.ok()) co_return body.status();
  try {
    co_return lease_renewal{body->at("renewed").get<std::vector<std::string>>(),
                            body->at("dead").get<std::vector<std::string>>()};
  } catch (const json::exception& error) {
    co_return absl::DataLossError(state::StrCat("renewal: ", error.what()));
  }
}

asio::awaitable<absl::StatusOr<worker_report>> http_worker_client::List(std::string endpoint,
                                                                        std::int64_t since, milliseconds wait,
                                                                        milliseconds timeout) {
  transport::http_request request{
      "GET", state::StrCat("/v1/tasks?since=", since, "&wait_ms=", wait.count()), {}, ""};
  const absl::StatusOr<json> body = co_await Call(endpoint, std::move(request), timeout);
  if (!body.ok()) co_return body.status();
  co_return ParseWorkerReport(*body);
}

}  // namespace hickorystall::protocol
