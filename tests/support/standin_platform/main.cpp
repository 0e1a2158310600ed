#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "platform_service.h"
#include "transport/event_loop_pool.h"
#include "transport/http_server.h"

namespace {

using hickorystall::transport::http_request;
using hickorystall::transport::http_server;
using hickorystall::transport::http_server_settings;

int Serve(http_server_settings settings, std::chrono::milliseconds vm_lag) {
  hickorystall::transport::event_loop_pool pool(1);
  hickorystall::standin::platform_service service(vm_lag);
  http_server server(
      pool, std::move(settings),
      [&service](http_request request) { return service.Handle(std::move(request)); },
      [](auto) { return hickorystall::transport::JsonResponse(400, "{\"error\":\"unreadable request\"}"); });
  if (const absl::Status started = server.Start(); !started.ok()) {
    std::cerr << "standin-platform: " << started.message() << "\n";
    return 1;
  }
  pool.Start();
  std::cerr << "standin-platform: listening on port " << server.port() << "\n";
  boost::asio::io_context context;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([](const boost::system::error_code&, int) {});
  context.run();
  pool.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Stand-in for the platform's table service, object store and VM list", "standin-platform"};
  http_server_settings settings;
  settings.listen = "127.0.0.1:7000";
  settings.max_body_bytes = 64u << 20;
  int vm_lag_ms = 1000;
  app.add_option("--listen", settings.listen, "ip:port to listen on")->capture_default_str();
  app.add_option("--vm-lag-ms", vm_lag_ms, "Delay until a change appears in the VM list, in milliseconds")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  return Serve(std::move(settings), std::chrono::milliseconds(vm_lag_ms));
}
