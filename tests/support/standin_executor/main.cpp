// Stand-in for the executors: one process serves many, one port each, and a control API on another port.
//
// GET  /control/executors            settings and counters of each executor
// POST /control/executors/INDEX      {"service_ms","mode","mode_count","leaving","present","slots"}; "*" for
// all GET  /control/log                  what really ran, by executor
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

// The control API. Runs on the loop of the executors, so it needs no lock.
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
        http::response<http::string_body> response = Answer(request);
        response.prepare_payload();
        co_await http::async_write(stream, response, asio::use_awaitable);
      }
    } catch (const boost::system::system_error&) {
      // The caller closed the connection.
    }
  }

  http::response<http::string_body> Answer(const http::request<http::string_body>& request) {
    http::response<http::string_body> response;
    response.version(11);
    response.set(http::field::content_type, "application/json");
    const std::string target(request.target());
    const std::string prefix = "/control/executors/";
    if (target == "/control/executors") {
      response.body() = Describe().dump();
    } else if (target == "/control/log") {
      response.body() = Log().dump(-1, ' ', false, json::error_handler_t::replace);
    } else if (target.starts_with(prefix)) {
      const bool changed = Change(target.substr(prefix.size()), request.body());
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

  json Log() const {
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

  bool Change(const std::string& which, const std::string& body) {
    const json change = json::parse(body, nullptr, false);
    if (!change.is_object()) return false;
    for (std::size_t i = 0; i < executors_.size(); ++i) {
      if (which != "*" && which != std::to_string(i)) continue;
      executor::settings next = executors_[i]->current();
      bool known = true;
      if (change.contains("mode")) {
        next.mode = hickorystall::standin::ParseBehaviour(change["mode"].get<std::string>(), known);
        next.mode_count = -1;
      }
      if (!known) return false;
      next.mode_count = change.value("mode_count", next.mode_count);
      next.service = std::chrono::milliseconds(change.value("service_ms", next.service.count()));
      next.leaving = change.value("leaving", next.leaving);
      next.present = change.value("present", next.present);
      next.slots = change.value("slots", next.slots);
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
  app.add_option("--service-ms", service_ms, "Service time of a request in milliseconds");
  app.add_option("--slots", initial.slots, "Requests that one executor runs at the same time");
  app.add_option("--connections", initial.connections, "Connections that one executor accepts");
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
