// Stand-in for executors. One process runs several executors, each on a port of its own, and a control API on
// a further port:
//
// GET  /control/executors        state and counters of each executor
// POST /control/executors/INDEX  {"service_ms","mode","mode_count","leaving","present","slots"};
//                                INDEX "*" selects all executors
// GET  /control/log              requests that ran, by executor
#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

#include "executor.h"
#include "transport/http_message.h"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using hickorystall::standin::executor;
using nlohmann::json;

tcp::endpoint ToEndpoint(const std::string& text) {
  const auto parts = hickorystall::transport::ParseEndpoint(text);
  return {asio::ip::make_address(parts.ip), static_cast<std::uint16_t>(parts.port)};
}

// Serves the control API. It shares the executors' event loop and needs no lock.
class control_server {
 public:
  control_server(asio::io_context& context, std::vector<std::shared_ptr<executor>> executors)
      : context_(context), executors_(std::move(executors)) {}

  asio::awaitable<void> Run(tcp::endpoint endpoint) {
    tcp::acceptor acceptor(context_, endpoint);
    for (;;) {
      tcp::socket socket = co_await acceptor.async_accept(asio::use_awaitable);
      asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
    }
  }

 private:
  asio::awaitable<void> Serve(tcp::socket socket) {
    boost::beast::tcp_stream stream(std::move(socket));
    boost::beast::flat_buffer buffer;
    try {
      for (;;) {
        http::request<http::string_body> request;
        co_await http::async_read(stream, buffer, request, asio::use_awaitable);
        http::response<http::string_body> response = HandleRequest(request);
        response.prepare_payload();
        co_await http::async_write(stream, response, asio::use_awaitable);
      }
    } catch (const boost::system::system_error&) {
      // The client closed the connection.
    }
  }

  http::response<http::string_body> HandleRequest(const http::request<http::string_body>& request) {
    http::response<http::string_body> response;
    response.version(11);
    response.set(http::field::content_type, "application/json");
    const std::string target(request.target());
    const std::string prefix = "/control/executors/";
    if (target == "/control/executors") {
      response.body() = Describe().dump();
    } else if (target == "/control/log") {
      response.body() = DescribeLog().dump(-1, ' ', false, json::error_handler_t::replace);
    } else if (target.starts_with(prefix)) {
      const bool changed = ChangeSettings(target.substr(prefix.size()), request.body());
      response.result(changed ? 200U : 400U);
      response.body() = "{}";
    } else {
      response.result(404U);
    }
    return response;
  }

  json Describe() const {
    json list = json::array();
    for (const auto& item : executors_) {
      list.push_back({{"received", item->received()},
                      {"last_received_at_ms", item->last_received_at_ms()},
                      {"accepted", item->accepted()},
                      {"ran", item->log().size()},
                      {"in_flight", item->in_flight()},
                      {"leaving", item->current().leaving},
                      {"present", item->current().present}});
    }
    return {{"executors", list}};
  }

  json DescribeLog() const {
    json entries = json::array();
    for (std::size_t i = 0; i < executors_.size(); ++i) {
      for (const auto& entry : executors_[i]->log()) {
        entries.push_back({{"executor", i},
                           {"id", entry.id},
                           {"kind", entry.kind},
                           {"body", entry.body},
                           {"started_at_ms", entry.started_at_ms},
                           {"finished", entry.finished}});
      }
    }
    return {{"entries", entries}};
  }

  bool ChangeSettings(const std::string& selector, const std::string& body) {
    const json changes = json::parse(body, nullptr, false);
    if (!changes.is_object()) return false;
    for (std::size_t i = 0; i < executors_.size(); ++i) {
      if (selector != "*" && selector != std::to_string(i)) continue;
      executor::settings next = executors_[i]->current();
      bool known = true;
      if (changes.contains("mode")) {
        next.mode = hickorystall::standin::ParseBehaviour(changes["mode"].get<std::string>(), known);
        next.mode_count = -1;
      }
      if (!known) return false;
      next.mode_count = changes.value("mode_count", next.mode_count);
      next.service = std::chrono::milliseconds(changes.value("service_ms", next.service.count()));
      next.leaving = changes.value("leaving", next.leaving);
      next.present = changes.value("present", next.present);
      next.slots = changes.value("slots", next.slots);
      executors_[i]->Apply(next);
    }
    return true;
  }

  asio::io_context& context_;
  std::vector<std::shared_ptr<executor>> executors_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-in for executors"};
  std::string control = "127.0.0.1:7300";
  std::vector<std::string> listen;
  executor::settings initial;
  int service_ms = 5;
  app.add_option("--control", control, "ip:port of the control API")->required();
  app.add_option("--listen", listen, "ip:port of each executor")->required();
  app.add_option("--service-ms", service_ms, "Service time of a request, in milliseconds");
  app.add_option("--slots", initial.slots,
                 "Maximum number of requests that an executor runs at the same time");
  app.add_option("--connections", initial.connections, "Maximum number of open connections to an executor");
  CLI11_PARSE(app, argc, argv);
  initial.service = std::chrono::milliseconds(service_ms);
  std::signal(SIGPIPE, SIG_IGN);

  asio::io_context context(1);
  std::vector<std::shared_ptr<executor>> executors;
  for (const std::string& address : listen) {
    executors.push_back(std::make_shared<executor>(context, ToEndpoint(address), initial));
    executors.back()->Start();
  }
  control_server server(context, executors);
  asio::co_spawn(context, server.Run(ToEndpoint(control)), [](const std::exception_ptr& failure) {
    if (failure != nullptr) std::rethrow_exception(failure);
  });
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  return 0;
}
