#include "proxy_service.h"

#include <absl/status/statusor.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hickorystall::fault_proxy {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

// Modes of the control API. "silent" affects open connections only, so that its rule is kPass.
const std::map<std::string, fault_mode, std::less<>> kModes = {
    {"pass", fault_mode::kPass},         {"silent", fault_mode::kPass},
    {"cut", fault_mode::kCut},           {"block", fault_mode::kBlock},
    {"delay", fault_mode::kDelay},       {"throttle", fault_mode::kThrottle},
    {"truncate", fault_mode::kTruncate}, {"drop_replies", fault_mode::kDropReplies}};

absl::StatusOr<tcp::endpoint> ToEndpoint(const std::string& text) {
  const transport::endpoint_parts parts = transport::ParseEndpoint(text);
  boost::system::error_code error;
  const auto address = asio::ip::make_address(parts.ip, error);
  if (error || parts.port == 0) return absl::InvalidArgumentError("'" + text + "' is not ip:port");
  return tcp::endpoint(address, static_cast<std::uint16_t>(parts.port));
}

// Compares `name` with `pattern`, in which the first '*' stands for any text.
bool MatchesPattern(const std::string& pattern, const std::string& name) {
  const std::size_t star = pattern.find('*');
  if (star == std::string::npos) return pattern == name;
  return name.size() + 1 >= pattern.size() && name.starts_with(pattern.substr(0, star)) &&
         name.ends_with(pattern.substr(star + 1));
}

transport::http_response BadRequest(const std::string& message) {
  return transport::JsonResponse(400, json{{"error", message}}.dump());
}

std::string ModeName(fault_mode mode) {
  for (const auto& [name, value] : kModes) {
    if (value == mode && name != "silent") return name;
  }
  return "";
}

}  // namespace

absl::Status proxy_service::AddLink(const std::string& name, const std::string& listen,
                                    const std::string& target) {
  if (links_.contains(name)) return absl::InvalidArgumentError("link " + name + " already exists");
  const absl::StatusOr<tcp::endpoint> from = ToEndpoint(listen);
  const absl::StatusOr<tcp::endpoint> to = ToEndpoint(target);
  if (!from.ok()) return from.status();
  if (!to.ok()) return to.status();
  auto entry = std::make_shared<link>(context_);
  entry->target = *to;
  boost::system::error_code error;
  entry->acceptor.open(from->protocol(), error);
  if (!error) entry->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) entry->acceptor.bind(*from, error);
  if (!error) entry->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return absl::UnavailableError("cannot listen on " + listen + ": " + error.message());
  links_[name] = entry;
  asio::co_spawn(
      context_, [this, entry] { return AcceptLoop(entry); }, asio::detached);
  return absl::OkStatus();
}

asio::awaitable<void> proxy_service::AcceptLoop(std::shared_ptr<link> entry) {
  for (;;) {
    auto [error, client] = co_await entry->acceptor.async_accept(kAsTuple);
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;
    ++entry->accepted;
    asio::co_spawn(
        context_,
        [this, entry, socket = std::move(client)]() mutable { return Connect(entry, std::move(socket)); },
        asio::detached);
  }
}

asio::awaitable<void> proxy_service::Connect(std::shared_ptr<link> entry, tcp::socket client) {
  tcp::socket target(context_);
  const auto is_cut = [&] {
    return entry->state->rules[0].mode == fault_mode::kCut || entry->state->rules[1].mode == fault_mode::kCut;
  };
  bool connected = false;
  if (!is_cut()) {
    auto [error] = co_await target.async_connect(entry->target, kAsTuple);
    connected = !error;
  }
  if (!connected || is_cut()) {
    boost::system::error_code ignored;
    // With a linger time of 0, close sends a reset.
    client.set_option(asio::socket_base::linger(true, 0), ignored);
    client.close(ignored);
    co_return;
  }
  const auto connection = std::make_shared<relay>(std::move(client), std::move(target), entry->state);
  std::erase_if(entry->relays, [](const std::weak_ptr<relay>& weak_relay) { return weak_relay.expired(); });
  entry->relays.push_back(connection);
  connection->Start();
}

transport::http_response proxy_service::Control(const transport::http_request& request) {
  if (request.method == "GET") return transport::JsonResponse(200, Report().dump());
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return BadRequest("the body is not a JSON object");
  try {
    for (const json& entry : body.value("add", json::array())) {
      const absl::Status added = AddLink(entry.at("name"), entry.at("listen"), entry.at("target"));
      if (!added.ok()) return BadRequest(std::string(added.message()));
    }
    for (const json& change : body.value("set", json::array())) SetMode(change);
  } catch (const json::exception& error) {
    return BadRequest(error.what());
  }
  return transport::JsonResponse(200, Report().dump());
}

void proxy_service::SetMode(const json& change) {
  const std::string pattern = change.at("link");
  const std::string direction_name = change.value("direction", "both");
  if (!kModes.contains(change.at("mode").get<std::string>())) {
    throw json::other_error::create(501, "unknown mode " + change.at("mode").dump(), &change);
  }
  bool found = false;
  for (const auto& [name, entry] : links_) {
    if (!MatchesPattern(pattern, name)) continue;
    found = true;
    if (direction_name != "to_client") SetLinkMode(*entry, direction::kToTarget, change);
    if (direction_name != "to_target") SetLinkMode(*entry, direction::kToClient, change);
  }
  if (!found) throw json::other_error::create(502, "no link matches " + pattern, &change);
}

void proxy_service::SetLinkMode(link& entry, direction dir, const json& change) {
  const std::string mode = change.at("mode");
  fault_rule rule;
  rule.mode = kModes.at(mode);
  rule.delay = milliseconds(change.value("delay_ms", 0));
  rule.bytes_per_second = change.value("bytes_per_second", std::int64_t{1});
  rule.byte_limit = change.value("bytes", std::int64_t{0});
  rule.remaining_resets = change.value("count", 1);
  rule.serial = ++last_serial_;
  entry.state->rules[static_cast<std::size_t>(dir)] = rule;
  for (const std::weak_ptr<relay>& weak_relay : entry.relays) {
    const std::shared_ptr<relay> connection = weak_relay.lock();
    if (connection == nullptr) continue;
    if (mode == "cut") {
      ++entry.state->resets;
      connection->Reset();
    }
    if (mode == "silent") connection->Silence(dir);
  }
  if (mode == "cut") entry.relays.clear();
}

json proxy_service::Report() const {
  json report = json::object();
  for (const auto& [name, entry] : links_) {
    const link_state& state = *entry->state;
    std::int64_t open = 0;
    for (const std::weak_ptr<relay>& weak_relay : entry->relays) open += weak_relay.expired() ? 0 : 1;
    report[name] = {
        {"accepted", entry->accepted},
        {"open", open},
        {"resets", state.resets},
        {"to_target", {{"mode", ModeName(state.rules[0].mode)}, {"bytes", state.forwarded_bytes[0]}}},
        {"to_client", {{"mode", ModeName(state.rules[1].mode)}, {"bytes", state.forwarded_bytes[1]}}}};
  }
  return {{"links", report}};
}

}  // namespace hickorystall::fault_proxy
