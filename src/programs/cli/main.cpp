#include <CLI/CLI.hpp>

int main(int argc, char** argv) {
  CLI::App app{"Command-line client for operators and callers of hickorystall", "hickorystall"};
  app.set_version_flag("--version", std::string("hickorystall ") + HICKORYSTALL_VERSION);
  CLI11_PARSE(app, argc, argv);
  return 0;
}
