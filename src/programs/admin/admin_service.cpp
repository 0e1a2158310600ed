#include "programs/admin/admin_service.h"

#include <glog/logging.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <utility>

#include "programs/admin/admin_json.h"
#include "protocol/error_response.h"
#include "protocol/job_codec.h"
#include "state/config/document_edit.h"
#include "state/text.h"
#include "transport/async_event.h"

namespace hickorystall::programs::admin {

namespace asio = boost::asio;
using nlohmann::json;
using state::error_kind;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

namespace {

constexpr std::string_view kVmPrefix = "/v1/vms/";
// Time limit for accepting a change, including the resolution of an unconfirmed write.
constexpr milliseconds kAcceptTimeout{8000};
// Time in which an accepted version must be in force on every instance, and the interval of the checks.
constexpr milliseconds kConfirmTimeout{4000};
constexpr milliseconds kConfirmPollInterval{10};
// A drain is retried on the newest version when a concurrent change was accepted first.
constexpr int kMaxDrainAttempts = 5;
constexpr int kDefaultHistoryLimit = 20;
constexpr int kMaxHistoryLimit = 200;
// Operator names and idempotency keys are truncated to this number of bytes in the history.
constexpr std::size_t kMaxHeaderLength = 100;

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size() || value < 0) {
    return std::nullopt;
  }
  return value;
}

std::int64_t NowMillis() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

admin_service::admin_service(common::server_program& program) : program_(program) {}

const std::vector<admin_service::route>& admin_service::Routes() {
  static const std::vector<route> routes{
      {"POST", "/v1/config/validate", &admin_service::Validate},
      {"POST", "/v1/config/dry-run", &admin_service::DryRun},
      {"PUT", "/v1/config", &admin_service::Apply},
      {"GET", "/v1/config", &admin_service::Show},
      {"GET", "/v1/config/history", &admin_service::History},
      {"GET", "/v1/config/status", &admin_service::Status},
  };
  return routes;
}

admin_service::async_response admin_service::Handle(transport::http_request request) {
  if (!program_.IsOperator(request)) {
    co_return protocol::MakeErrorResponse(error_kind::kUnauthorized,
                                          "the operator token is missing or wrong");
  }
  bool known_path = false;
  for (const route& entry : Routes()) {
    if (entry.path != request.path()) continue;
    known_path = true;
    if (entry.method == request.method) co_return co_await (this->*entry.handler)(request);
  }
  const std::string_view path = request.path();
  if (path.starts_with(kVmPrefix)) {
    const std::size_t slash = path.rfind('/');
    const std::string_view action = path.substr(slash + 1);
    if (slash > kVmPrefix.size() && (action == "drain" || action == "undrain")) {
      if (request.method != "POST") {
        co_return protocol::MakeErrorResponse(error_kind::kMethodNotAllowed, "this path requires POST");
      }
      const std::string vm =
          transport::PercentDecode(path.substr(kVmPrefix.size(), slash - kVmPrefix.size()));
      co_return co_await SetDrained(request, vm, action == "drain");
    }
  }
  if (known_path)
    co_return protocol::MakeErrorResponse(error_kind::kMethodNotAllowed,
                                          "the path does not allow this method");
  co_return protocol::MakeErrorResponse(error_kind::kNotFound, "no such path");
}

admin_service::async_response admin_service::Validate(const transport::http_request& request) {
  const state::config_parse_result parsed = state::ParseClusterConfig(request.body);
  if (!parsed.errors.empty()) co_return MakeInvalidConfigurationResponse(parsed.errors);
  co_return transport::JsonResponse(200, json{{"valid", true}, {"errors", json::array()}}.dump());
}

admin_service::async_response admin_service::DryRun(const transport::http_request& request) {
  const state::config_parse_result parsed = state::ParseClusterConfig(request.body);
  if (!parsed.complete) co_return MakeInvalidConfigurationResponse(parsed.errors);
  const coordination::config_keeper::config_ptr current = program_.config().current();
  const state::cluster_config before = current == nullptr ? state::cluster_config() : current->config;
  json body = {{"valid", parsed.errors.empty()},
               {"errors", ToJson(parsed.errors)},
               {"compared_with_version", current == nullptr ? 0 : current->version},
               {"changes", ToJson(state::ExplainChange(before, parsed.config))}};
  body["queued_jobs"] = co_await CheckQueuedJobs(before, parsed.config);
  co_return transport::JsonResponse(200, body.dump());
}

asio::awaitable<json> admin_service::CheckQueuedJobs(const state::cluster_config& before,
                                                     const state::cluster_config& after) {
  const absl::StatusOr<std::vector<protocol::table_row>> rows = co_await program_.platform().Scan("job/");
  if (!rows.ok())
    co_return json{{"checked", 0}, {"error", "the store is unavailable; queued jobs were not checked"}};
  std::vector<state::job_record> queued;
  for (const protocol::table_row& row : *rows) {
    absl::StatusOr<state::job_record> job = protocol::DecodeJobRecord(row.value);
    if (job.ok() && job->state == state::job_state::kQueued) queued.push_back(std::move(*job));
  }
  json impossible = json::array();
  for (const state::impossible_job& job : state::FindImpossibleJobs(before, after, queued)) {
    impossible.push_back({{"job", job.job_id}, {"workspace", job.workspace}, {"reason", job.reason}});
  }
  co_return json{{"checked", queued.size()}, {"impossible", impossible}};
}

admin_service::async_response admin_service::Apply(const transport::http_request& request) {
  const std::optional<std::int64_t> base = ParseNumber(request.QueryParameter("base"));
  if (!base.has_value()) {
    co_return protocol::MakeErrorResponse(
        error_kind::kBadRequest,
        "the query must contain the version that the change is based on, such as base=7");
  }
  const state::config_parse_result parsed = state::ParseClusterConfig(request.body);
  if (!parsed.errors.empty()) co_return MakeInvalidConfigurationResponse(parsed.errors);
  accept_result entry = co_await Accept(request, *base, request.body);
  if (!entry.ok()) co_return MakeStoreFailureResponse(entry.status());
  co_return co_await PublishAccepted(std::move(*entry));
}

asio::awaitable<admin_service::accept_result> admin_service::Accept(const transport::http_request& request,
                                                                    std::int64_t base, std::string body) {
  coordination::config_entry entry;
  entry.base = base;
  entry.operator_name = std::string(request.Header("X-Operator").substr(0, kMaxHeaderLength));
  entry.operation = std::string(request.Header("Idempotency-Key").substr(0, kMaxHeaderLength));
  entry.instance = program_.settings().instance;
  entry.accepted_at_ms = NowMillis();
  entry.body = std::move(body);
  co_return co_await coordination::AcceptConfig(program_.platform(), ObjectWriter(), std::move(entry),
                                                kAcceptTimeout);
}

admin_service::async_response admin_service::PublishAccepted(coordination::config_entry entry) {
  LOG(INFO) << "admin: version " << entry.version << " accepted on base " << entry.base << " from operator \""
            << entry.operator_name << "\"";
  absl::StatusOr<std::string> text = std::move(entry.body);
  // A retried request may find an existing entry whose document is stored as an object.
  if (!entry.object.empty()) {
    text = co_await coordination::ReadConfigBody(program_.platform(), ObjectReader(), entry.version);
  }
  if (text.ok()) {
    program_.config().Offer(entry.version, *text);
    program_.mesh().PushConfig(entry.version, *text);
  }
  json body = {{"version", entry.version}, {"base", entry.base}, {"changed", true}};
  body.update(co_await AwaitPeerConfirmation(entry.version));
  co_return transport::JsonResponse(200, body.dump());
}

asio::awaitable<json> admin_service::AwaitPeerConfirmation(std::int64_t version) {
  const clock::time_point start = clock::now();
  // A peer that becomes unreachable meanwhile stays in the list: it may still serve the old version.
  std::set<std::string> expected;
  for (const coordination::peer_info& peer : program_.mesh().LivePeers("")) expected.insert(peer.instance);
  json confirmed;
  json unconfirmed;
  for (;;) {
    confirmed = json::array();
    unconfirmed = json::array();
    std::vector<coordination::peer_info> peers = program_.mesh().AllPeers();
    peers.push_back(program_.mesh().self());
    for (const coordination::peer_info& peer : peers) {
      if (!expected.contains(peer.instance) || peer.leaving) continue;
      (peer.config_version >= version ? confirmed : unconfirmed).push_back(peer.instance);
    }
    if (unconfirmed.empty() || clock::now() - start >= kConfirmTimeout || program_.stopping()) break;
    co_await transport::Sleep(kConfirmPollInterval);
  }
  const auto elapsed = std::chrono::duration_cast<milliseconds>(clock::now() - start);
  co_return json{
      {"confirmed", confirmed}, {"unconfirmed", unconfirmed}, {"confirmed_after_ms", elapsed.count()}};
}

asio::awaitable<absl::StatusOr<state::versioned_config>> admin_service::ReadNewestConfig() {
  const absl::StatusOr<protocol::table_row> row =
      co_await program_.platform().Read(protocol::ConfigHeadKey());
  if (!row.ok()) co_return row.status();
  const std::optional<coordination::config_head> head = coordination::DecodeConfigHead(row->value);
  if (!head.has_value()) co_return absl::DataLossError("the head row is not valid");
  if (head->version == 0) co_return absl::NotFoundError("there is no configuration yet");
  absl::StatusOr<std::string> text =
      co_await coordination::ReadConfigBody(program_.platform(), ObjectReader(), head->version);
  if (!text.ok()) co_return text.status();
  co_return state::versioned_config{head->version, std::move(*text), {}};
}

admin_service::async_response admin_service::Show(const transport::http_request& request) {
  const std::string version_text = request.QueryParameter("version");
  if (!version_text.empty()) {
    const std::optional<std::int64_t> version = ParseNumber(version_text);
    if (!version.has_value()) {
      co_return protocol::MakeErrorResponse(error_kind::kBadRequest, "version must be a whole number");
    }
    const absl::StatusOr<std::string> text =
        co_await coordination::ReadConfigBody(program_.platform(), ObjectReader(), *version);
    if (!text.ok()) co_return MakeStoreFailureResponse(text.status());
    co_return transport::JsonResponse(
        200, json{{"version", *version}, {"document", *text}, {"stale", false}}.dump());
  }
  const absl::StatusOr<state::versioned_config> newest = co_await ReadNewestConfig();
  if (newest.ok()) {
    co_return transport::JsonResponse(
        200, json{{"version", newest->version}, {"document", newest->text}, {"stale", false}}.dump());
  }
  const coordination::config_keeper::config_ptr in_force = program_.config().current();
  if (absl::IsNotFound(newest.status()) || in_force == nullptr)
    co_return MakeStoreFailureResponse(newest.status());
  co_return transport::JsonResponse(
      200, json{{"version", in_force->version}, {"document", in_force->text}, {"stale", true}}.dump());
}

admin_service::async_response admin_service::History(const transport::http_request& request) {
  const std::string limit_text = request.QueryParameter("limit");
  const std::optional<std::int64_t> limit =
      limit_text.empty() ? kDefaultHistoryLimit : ParseNumber(limit_text);
  if (!limit.has_value()) {
    co_return protocol::MakeErrorResponse(error_kind::kBadRequest, "limit must be a whole number");
  }
  const int rows = static_cast<int>(std::min<std::int64_t>(*limit, kMaxHistoryLimit));
  const auto entries = co_await coordination::ReadConfigHistory(program_.platform(), rows);
  if (!entries.ok()) co_return MakeStoreFailureResponse(entries.status());
  json versions = json::array();
  for (const coordination::config_entry& entry : *entries) versions.push_back(ToJson(entry));
  co_return transport::JsonResponse(200, json{{"versions", versions}}.dump());
}

admin_service::async_response admin_service::Status(const transport::http_request&) {
  const clock::time_point now = clock::now();
  std::vector<std::string> live;
  for (const coordination::peer_info& peer : program_.mesh().LivePeers("")) live.push_back(peer.instance);
  json instances = json::array();
  instances.push_back(ToJson(program_.mesh().self(), now, true));
  for (const coordination::peer_info& peer : program_.mesh().AllPeers()) {
    const bool is_live = std::find(live.begin(), live.end(), peer.instance) != live.end();
    instances.push_back(ToJson(peer, now, is_live));
  }
  json body = {{"version_in_force", program_.config().version()}, {"instances", instances}};
  const absl::StatusOr<protocol::table_row> head =
      co_await program_.platform().Read(protocol::ConfigHeadKey());
  const auto decoded = head.ok() ? coordination::DecodeConfigHead(head->value) : std::nullopt;
  body["store_reachable"] = head.ok();
  if (decoded.has_value()) body["newest_version"] = decoded->version;
  co_return transport::JsonResponse(200, body.dump());
}

admin_service::async_response admin_service::SetDrained(const transport::http_request& request,
                                                        std::string vm, bool drained) {
  for (int attempt = 0; attempt < kMaxDrainAttempts; ++attempt) {
    const absl::StatusOr<state::versioned_config> newest = co_await ReadNewestConfig();
    if (!newest.ok()) co_return MakeStoreFailureResponse(newest.status());
    std::optional<std::string> edited = state::SetDrained(newest->text, vm, drained);
    if (!edited.has_value()) {
      co_return protocol::MakeErrorResponse(error_kind::kNotFound,
                                            state::StrCat("there is no VM named \"", vm, "\""));
    }
    if (*edited == newest->text) {
      co_return transport::JsonResponse(200, json{{"version", newest->version}, {"changed", false}}.dump());
    }
    const state::config_parse_result parsed = state::ParseClusterConfig(*edited);
    if (!parsed.errors.empty()) co_return MakeInvalidConfigurationResponse(parsed.errors);
    accept_result entry = co_await Accept(request, newest->version, std::move(*edited));
    if (entry.ok()) co_return co_await PublishAccepted(std::move(*entry));
    if (!absl::IsAborted(entry.status())) co_return MakeStoreFailureResponse(entry.status());
  }
  co_return protocol::MakeErrorResponse(
      error_kind::kVersionConflict,
      "the change conflicted repeatedly with concurrent changes; retry the request");
}

coordination::object_reader admin_service::ObjectReader() {
  return [this](std::string name) { return program_.platform().GetObject(std::move(name)); };
}

coordination::object_writer admin_service::ObjectWriter() {
  return [this](std::string name, std::string body) {
    return program_.platform().PutObject(std::move(name), std::move(body));
  };
}

}  // namespace hickorystall::programs::admin
