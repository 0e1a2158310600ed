#include "programs/common/server_program.h"

#include <glog/logging.h>
#include <signal.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <thread>

#include "protocol/error_response.h"
#include "protocol/token_hash.h"

namespace hickorystall::programs::common {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;

namespace {

// Interval at which a graceful stop checks for open connections and running tasks.
constexpr std::chrono::milliseconds kDrainPollInterval{10};

coordination::peer_mesh_settings MakeMeshSettings(const std::string& role, const server_settings& settings) {
  coordination::peer_mesh_settings mesh;
  mesh.instance = settings.instance;
  mesh.role = role;
  mesh.vm = settings.vm;
  mesh.listen = settings.peer_listen;
  mesh.advertise = settings.peer_advertise;
  mesh.seeds = settings.seeds;
  return mesh;
}

}  // namespace

void InitializeProcess(const char* program) {
  std::signal(SIGPIPE, SIG_IGN);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

server_program::server_program(std::string prefix, server_settings settings)
    : prefix_(std::move(prefix)),
      settings_(std::move(settings)),
      event_loops_(static_cast<std::size_t>(settings_.worker_threads)),
      http_(event_loops_, {}),
      platform_(http_, settings_.platform),
      config_(
          platform_, [this](std::string name) { return platform_.GetObject(std::move(name)); },
          settings_.config),
      mesh_(config_, MakeMeshSettings(prefix_, settings_)),
      directory_(platform_, mesh_, {}) {
  mesh_.SetReadiness([this] { return IsReady(); });
  AddDump("peers", [this] { return DumpPeers(); });
}

server_program::~server_program() { event_loops_.Stop(); }

void server_program::AddDump(std::string name, std::function<nlohmann::json()> dump) {
  dumps_.emplace_back(std::move(name), std::move(dump));
}

bool server_program::IsOperator(const transport::http_request& request) const {
  const std::string_view token = protocol::BearerToken(request.Header("Authorization"));
  return !token.empty() && protocol::TokenMatches(token, settings_.operator_token_sha256);
}

asio::awaitable<transport::http_response> server_program::Route(transport::http_request request) {
  const std::string_view path = request.path();
  if (path == "/live") co_return transport::JsonResponse(200, "{\"live\":true}");
  if (path == "/ready") co_return HandleReady();
  if (path == "/metrics")
    co_return transport::http_response{200, {{"Content-Type", "text/plain"}}, metrics_ ? metrics_() : ""};
  if (path == "/dump") co_return HandleDump(request);
  if (!handle_) co_return protocol::MakeErrorResponse(state::error_kind::kNotFound, "no such path");
  co_return co_await handle_(std::move(request));
}

bool server_program::IsReady() const {
  return !stopping_ && config_.IsReady(clock::now()) &&
         std::all_of(readiness_.begin(), readiness_.end(), [](const auto& is_ready) { return is_ready(); });
}

void server_program::AddPeerTasks() {
  AddTask([this] { return mesh_.Run([this] { return stopping(); }); });
  AddTask([this] { return directory_.Run([this] { return stopping(); }); });
}

nlohmann::json server_program::DumpPeers() const {
  nlohmann::json peers = nlohmann::json::array();
  const clock::time_point now = clock::now();
  for (const coordination::peer_info& peer : mesh_.AllPeers()) {
    const auto since_contact = std::chrono::duration_cast<std::chrono::milliseconds>(now - peer.last_contact);
    peers.push_back({{"instance", peer.instance},
                     {"role", peer.role},
                     {"vm", peer.vm},
                     {"endpoint", peer.endpoint},
                     {"config_version", peer.config_version},
                     {"ready", peer.ready},
                     {"leaving", peer.leaving},
                     {"silent_ms", since_contact.count()}});
  }
  const coordination::peer_mesh_counters counters = mesh_.counters();
  return {{"endpoint", mesh_.self().endpoint},
          {"peers", peers},
          {"messages_sent", counters.messages_sent},
          {"bytes_sent", counters.bytes_sent},
          {"messages_received", counters.messages_received}};
}

transport::http_response server_program::HandleReady() const {
  if (stopping_) return protocol::MakeErrorResponse(state::error_kind::kNotReady, "stopping");
  if (!config_.IsReady(clock::now())) {
    return protocol::MakeErrorResponse(state::error_kind::kNotReady,
                                       "no configuration, or no contact with the store and the peers");
  }
  for (const auto& is_ready : readiness_) {
    if (!is_ready()) return protocol::MakeErrorResponse(state::error_kind::kNotReady, "starting");
  }
  return transport::JsonResponse(
      200, nlohmann::json{{"ready", true}, {"config_version", config_.version()}}.dump());
}

transport::http_response server_program::HandleDump(const transport::http_request& request) const {
  if (!IsOperator(request)) {
    return protocol::MakeErrorResponse(state::error_kind::kUnauthorized,
                                       "the dump requires the operator token");
  }
  nlohmann::json dump = {{"instance", settings_.instance},
                         {"vm", settings_.vm},
                         {"failure_domain", settings_.failure_domain},
                         {"region", settings_.region},
                         {"version", HICKORYSTALL_VERSION},
                         {"config_version", config_.version()},
                         {"stopping", stopping_.load()}};
  const protocol::platform_counters counters = platform_.counters();
  dump["platform"] = {{"available", platform_.available()},
                      {"calls", counters.calls},
                      {"attempts", counters.attempts},
                      {"refused_by_breaker", counters.refused_by_breaker}};
  for (const auto& [name, make] : dumps_) dump[name] = make();
  return transport::JsonResponse(200, dump.dump(2));
}

int server_program::Run() {
  // Registered first, so that a signal during startup also leads to a graceful stop.
  asio::io_context signal_context;
  asio::signal_set signals(signal_context, SIGTERM, SIGINT);
  server_ = std::make_unique<transport::http_server>(
      event_loops_, settings_.http,
      [this](transport::http_request request) { return Route(std::move(request)); },
      protocol::MakeReadFailureResponse);
  const absl::Status server_status = server_->Start();
  if (!server_status.ok()) {
    LOG(ERROR) << prefix_ << ": " << server_status.message();
    return 1;
  }
  const absl::Status mesh_status = mesh_.Start();
  if (!mesh_status.ok()) {
    LOG(ERROR) << prefix_ << ": " << mesh_status.message();
    return 1;
  }
  AddPeerTasks();
  AddTask([this] { return config_.Run([this] { return stopping(); }); });
  for (const auto& task : tasks_) {
    ++running_tasks_;
    asio::co_spawn(event_loops_.next(), task, [this](const std::exception_ptr& failure) {
      CHECK(failure == nullptr) << prefix_ << ": a background task ended with an exception";
      --running_tasks_;
    });
  }
  event_loops_.Start();
  LOG(INFO) << prefix_ << ": instance " << settings_.instance << " listens on port " << server_->port();
  signals.async_wait([](const boost::system::error_code&, int) {});
  signal_context.run();
  StopGracefully();
  return 0;
}

void server_program::StopGracefully() {
  LOG(INFO) << prefix_ << ": stopping; no longer reported as ready";
  stopping_ = true;
  mesh_.AnnounceLeaving();
  server_->BeginDrain();
  std::this_thread::sleep_for(settings_.drain_notice);
  server_->StopAccepting();
  const clock::time_point limit = clock::now() + settings_.drain_limit;
  const auto is_busy = [this] { return server_->is_listening() || server_->open_connections() > 0; };
  while (is_busy() && clock::now() < limit) std::this_thread::sleep_for(kDrainPollInterval);
  LOG_IF(WARNING, server_->requests_in_flight() > 0)
      << prefix_ << ": " << server_->requests_in_flight() << " requests were cut off at the drain limit";
  for (const auto& action : stop_actions_) action();
  while (running_tasks_ > 0 && clock::now() < limit) std::this_thread::sleep_for(kDrainPollInterval);
  mesh_.Stop();
  event_loops_.Stop();
  LOG(INFO) << prefix_ << ": stopped";
}

}  // namespace hickorystall::programs::common
