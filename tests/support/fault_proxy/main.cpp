#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "proxy_service.h"
#include "transport/event_loop_pool.h"
#include "transport/http_server.h"

namespace {

using hickorystall::transport::http_request;
using hickorystall::transport::http_response;
using hickorystall::transport::http_server;
using hickorystall::transport::http_server_settings;

// Adds the links of the command line. Each takes three consecutive arguments: name, listen address and target
// address.
absl::Status AddLinks(hickorystall::fault_proxy::proxy_service& service,
                      const std::vector<std::string>& link_arguments) {
  for (std::size_t i = 0; i + 2 < link_arguments.size(); i += 3) {
    absl::Status added = service.AddLink(link_arguments[i], link_arguments[i + 1], link_arguments[i + 2]);
    if (!added.ok()) return added;
  }
  return absl::OkStatus();
}

int Serve(http_server_settings settings, const std::vector<std::string>& links) {
  hickorystall::transport::event_loop_pool pool(1);
  hickorystall::fault_proxy::proxy_service service(pool.context(0));
  http_server server(
      pool, std::move(settings),
      [&service](http_request request) -> boost::asio::awaitable<http_response> {
        co_return service.Control(request);
      },
      [](auto) { return hickorystall::transport::JsonResponse(400, "{\"error\":\"unreadable request\"}"); });
  absl::Status started = AddLinks(service, links);
  if (started.ok()) started = server.Start();
  if (!started.ok()) {
    std::cerr << "fault-proxy: " << started.message() << "\n";
    return 1;
  }
  pool.Start();
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([](const boost::system::error_code&, int) {});
  context.run();
  pool.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"TCP proxy that delays, blocks, cuts and truncates connections", "fault-proxy"};
  http_server_settings settings;
  std::vector<std::string> links;
  app.add_option("--control", settings.listen, "ip:port of the control API")->required();
  app.add_option("--link", links, "NAME LISTEN TARGET: a link from ip:port to ip:port; may be repeated")
      ->type_size(3);
  CLI11_PARSE(app, argc, argv);
  return Serve(std::move(settings), links);
}
