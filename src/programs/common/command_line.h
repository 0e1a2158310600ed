#pragma once

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/json/located_json.h"

namespace hickorystall::programs::common {

/// Exit status for an invalid command line or invalid settings.
constexpr int kExitInvalidSettings = 2;

/// Command-line options common to all server programs.
struct command_line {
  /// Path of the settings file (JSON with comments).
  std::string settings_path;
  /// Validate the settings and exit without starting the server.
  bool check_settings = false;
};

/// Parses the command line of a server program into `out`. Returns an exit status when the program must exit
/// immediately (help, version or an error, already printed), otherwise std::nullopt.
std::optional<int> ParseCommandLine(int argc, char** argv, std::string_view name,
                                    std::string_view description, command_line& out);

/// Reads a whole file. Returns kNotFound when the file cannot be opened.
absl::StatusOr<std::string> ReadFile(const std::string& path);

/// Prints one line "PROGRAM: settings FILE: line L: KEY: MESSAGE" per error to standard error.
void PrintSettingsErrors(std::string_view program, const std::string& path,
                         const std::vector<state::document_error>& errors);

}  // namespace hickorystall::programs::common
