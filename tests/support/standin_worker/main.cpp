#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <memory>

#include "protocol/error_response.h"
#include "transport/event_loop_pool.h"
#include "transport/http_server.h"
#include "worker_model.h"

// Stand-in for workers. One process simulates several workers, each on a port of its own, and serves a
// control API for faults and the work log on a further port.

namespace {

namespace asio = boost::asio;
namespace transport = hickorystall::transport;
using hickorystall::standin::work_event;
using hickorystall::standin::worker_model;
using nlohmann::json;
using model_map = std::map<std::string, std::unique_ptr<worker_model>>;

// Interval at which the simulated tasks are advanced. Times in the log are exact nevertheless, as the time at
// which a task finishes or its lease expires is computed.
constexpr std::chrono::milliseconds kAdvanceInterval{10};

json EventToJson(const work_event& event) {
  const auto at = std::chrono::duration_cast<std::chrono::microseconds>(event.at.time_since_epoch());
  return {{"at_us", at.count()},
          {"worker", event.worker},
          {"task", event.task},
          {"lease", event.lease},
          {"accelerators", event.accelerators},
          {"working", event.working},
          {"state", event.state}};
}

// Handles GET /v1/log, POST /v1/workers/NAME/faults {...} and POST /v1/workers/NAME/restart; NAME "*" selects
// all workers.
transport::http_response Control(model_map& models, const transport::http_request& request) {
  const std::string path(request.path());
  if (path == "/live") return transport::JsonResponse(200, "{}");
  if (path == "/v1/log") {
    json events = json::array();
    for (const auto& [name, model] : models) {
      for (const work_event& event : model->log()) events.push_back(EventToJson(event));
    }
    return transport::JsonResponse(200, json{{"events", events}}.dump());
  }
  const std::string prefix = "/v1/workers/";
  const std::size_t slash = path.rfind('/');
  if (!path.starts_with(prefix) || slash <= prefix.size()) return transport::JsonResponse(404, "{}");
  const std::string name = path.substr(prefix.size(), slash - prefix.size());
  const std::string action = path.substr(slash + 1);
  const json body = json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
  bool found = false;
  for (auto& [model_name, model] : models) {
    if (name != "*" && name != model_name) continue;
    found = true;
    if (action == "faults" && body.is_object()) model->SetFaults(body);
    if (action == "restart") model->Restart();
  }
  return transport::JsonResponse(found ? 200 : 404, "{}");
}

asio::awaitable<void> AdvanceAll(model_map& models) {
  for (;;) {
    for (auto& [name, model] : models) model->Advance();
    co_await transport::Sleep(kAdvanceInterval);
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Simulated hickorystall workers");
  std::string control_address = "127.0.0.1:0";
  std::vector<std::string> worker_specs;
  app.add_option("--control", control_address, "ip:port of the control API");
  app.add_option("--worker", worker_specs, "NAME=ip:port, once per worker")->required();
  CLI11_PARSE(app, argc, argv);

  model_map models;
  transport::event_loop_pool pool(2);
  std::vector<std::unique_ptr<transport::http_server>> servers;
  for (const std::string& spec : worker_specs) {
    const std::size_t equals = spec.find('=');
    if (equals == std::string::npos) {
      std::cerr << "standin-worker: '" << spec << "' is not NAME=ip:port\n";
      return 2;
    }
    const std::string name = spec.substr(0, equals);
    worker_model* model = (models[name] = std::make_unique<worker_model>(name)).get();
    transport::http_server_settings settings;
    settings.listen = spec.substr(equals + 1);
    servers.push_back(std::make_unique<transport::http_server>(
        pool, settings,
        [model](transport::http_request request) { return model->Handle(std::move(request)); },
        hickorystall::protocol::MakeReadFailureResponse));
  }
  transport::http_server_settings control_settings;
  control_settings.listen = control_address;
  servers.push_back(std::make_unique<transport::http_server>(
      pool, control_settings,
      [&models](transport::http_request request) -> asio::awaitable<transport::http_response> {
        co_return Control(models, request);
      },
      hickorystall::protocol::MakeReadFailureResponse));
  for (auto& server : servers) {
    if (const absl::Status started = server->Start(); !started.ok()) {
      std::cerr << "standin-worker: " << started.message() << "\n";
      return 1;
    }
  }
  asio::co_spawn(pool.context(0), AdvanceAll(models), asio::detached);
  pool.Start();
  std::cout << "standin-worker: control API on port " << servers.back()->port() << std::endl;

  asio::io_context signal_context;
  asio::signal_set signals(signal_context, SIGTERM, SIGINT);
  signals.async_wait([](const boost::system::error_code&, int) {});
  signal_context.run();
  pool.Stop();
  return 0;
}
