#pragma once

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/json/located_json.h"

namespace hickorystall::programs::common {

/// Exit status for a wrong command line or invalid settings.
constexpr int kExitInvalidSettings = 2;

/// Options that every server program takes.
struct command_line {
  /// Settings file, JSON with comments.
  std::string settings_path;
  /// Only check the settings, then exit.
  bool check_settings = false;
};

/// Parses the command line of a server program. Returns an exit status when the program must end at once
/// (help, version or an error, already printed), else nothing and `out` is filled.
std::optional<int> ParseCommandLine(int argc, char** argv, std::string_view name,
                                    std::string_view description, command_line& out);

/// Reads a whole file. kNotFound when it cannot be read.
absl::StatusOr<std::string> ReadFile(const std::string& path);

/// Prints "PROGRAM: settings FILE: line L: KEY: MESSAGE" for each error on standard error.
void PrintSettingsErrors(std::string_view program, const std::string& path,
                         const std::vector<state::document_error>& errors);

}  // namespace hickorystall::programs::common
