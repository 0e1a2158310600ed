#pragma once

// Definition of RunServerProgram, included by server_program.h.

#include <iostream>

#include "programs/common/command_line.h"

namespace hickorystall::programs::common {

template <typename Settings>
int RunServerProgram(int argc, char** argv, std::string_view name, std::string_view description,
                     Settings (*parse)(std::string_view text, std::vector<state::document_error>& errors),
                     int (*run)(Settings settings)) {
  command_line options;
  if (const auto status = ParseCommandLine(argc, argv, name, description, options)) return *status;
  const absl::StatusOr<std::string> text = ReadFile(options.settings_path);
  if (!text.ok()) {
    std::cerr << name << ": " << text.status().message() << "\n";
    return kExitInvalidSettings;
  }
  std::vector<state::document_error> errors;
  Settings settings = parse(*text, errors);
  if (!errors.empty()) {
    PrintSettingsErrors(name, options.settings_path, errors);
    return kExitInvalidSettings;
  }
  if (options.check_settings) {
    std::cout << name << ": settings are valid\n";
    return 0;
  }
  InitializeProcess(argv[0]);
  return run(std::move(settings));
}

}  // namespace hickorystall::programs::common
