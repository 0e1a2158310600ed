#pragma once

#include <absl/status/status.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "relay.h"
#include "transport/http_message.h"

namespace hickorystall::fault_proxy {

/// A set of TCP links with injected faults, and the control API for them:
///
/// - `POST /control {"add":[{"name","listen":"ip:port","target":"ip:port"}]}` adds links.
/// - `POST /control {"set":[{"link","direction":"to_target"|"to_client"|"both","mode",...}]}`
///   sets the mode of the links whose name matches; one `*` in `link` stands for any text. The default
///   direction is `both`. Modes: `pass`; `cut`; `silent` (open connections discard all bytes from then on,
///   even after a change of mode; new connections pass); `block`; `delay` with `delay_ms`; `throttle` with
///   `bytes_per_second`; `truncate` with `bytes`; `drop_replies` with `count`.
/// - `GET /control` reports modes and counts of every link, as each `POST` does.
///
/// All work runs on the event loop of `context`, which must have a single thread.
class proxy_service {
 public:
  explicit proxy_service(boost::asio::io_context& context) : context_(context) {}

  /// Adds a link and starts to accept connections. Fails with kInvalidArgument for an invalid address or a
  /// name that exists, and with kUnavailable when it cannot listen on the address.
  absl::Status AddLink(const std::string& name, const std::string& listen, const std::string& target);
  /// Handles one request of the control API. Invalid requests get status 400; the changes before the invalid
  /// one stay in force.
  transport::http_response Control(const transport::http_request& request);

 private:
  // A listening socket, its target and the open connections between them.
  struct link {
    explicit link(boost::asio::io_context& context) : acceptor(context) {}
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::endpoint target;
    std::shared_ptr<link_state> state = std::make_shared<link_state>();
    std::vector<std::weak_ptr<relay>> relays;
    std::int64_t accepted = 0;
  };

  boost::asio::awaitable<void> AcceptLoop(std::shared_ptr<link> entry);
  boost::asio::awaitable<void> Connect(std::shared_ptr<link> entry, boost::asio::ip::tcp::socket client);
  void SetMode(const nlohmann::json& change);
  void SetLinkMode(link& entry, direction dir, const nlohmann::json& change);
  nlohmann::json Report() const;

  boost::asio::io_context& context_;
  std::map<std::string, std::shared_ptr<link>> links_;
  std::int64_t last_serial_ = 0;
};

}  // namespace hickorystall::fault_proxy
