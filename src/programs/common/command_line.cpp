#include "programs/common/command_line.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace hickorystall::programs::common {

std::optional<int> ParseCommandLine(int argc, char** argv, std::string_view name,
                                    std::string_view description, command_line& out) {
  CLI::App app{std::string(description), std::string(name)};
  app.set_version_flag("--version", std::string(name) + " " + HICKORYSTALL_VERSION);
  app.add_option("--settings", out.settings_path, "Settings file, JSON with comments")->required();
  app.add_flag("--check-settings", out.check_settings, "Validate the settings file and exit");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int status = app.exit(error);
    return status == 0 ? 0 : kExitInvalidSettings;
  }
  return std::nullopt;
}

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return absl::NotFoundError("cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void PrintSettingsErrors(std::string_view program, const std::string& path,
                         const std::vector<state::document_error>& errors) {
  for (const state::document_error& error : errors) {
    std::cerr << program << ": settings " << path << ": " << error.ToString() << "\n";
  }
}

}  // namespace hickorystall::programs::common
