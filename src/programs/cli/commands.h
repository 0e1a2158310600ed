#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "programs/cli/api_client.h"

namespace hickorystall::programs::cli {

/// Exit status of a command that succeeded.
constexpr int kExitSuccess = 0;
/// Exit status of a command that was refused or received no response.
constexpr int kExitRefused = 1;
/// Exit status for an invalid command line or an unreadable input file.
constexpr int kExitUsage = 2;

/// Arguments of all commands; each command reads only those that it accepts.
struct command_arguments {
  /// Path of the document or body to send; "-" for standard input.
  std::string file;
  /// Configuration version that the change is based on; 0 for the first.
  std::int64_t base = 0;
  /// Configuration version to show; 0 for the newest.
  std::int64_t version = 0;
  /// Maximum number of history entries.
  int limit = 20;
  /// Name of the VM or kind, idempotency key, or job id, depending on the command.
  std::string name;
  /// Ids of the jobs to cancel.
  std::vector<std::string> jobs;
  /// Idempotency key; when empty, no key is sent, or a random one where the command requires a key.
  std::string key;
  /// Sent as X-Request-Id unless empty.
  std::string request_id;
  /// Request body; ignored when `file` is set.
  std::string body;
  /// Time to wait in milliseconds. Job waits for a change of the job; Wait waits for its end, 0 for no limit.
  std::int64_t wait_ms = 0;
};

/// A command sends its request, prints the response and returns the exit status.
using command = int (*)(api_client& client, const command_arguments& arguments);

/// Commands for operators.
int Validate(api_client& client, const command_arguments& arguments);
int DryRun(api_client& client, const command_arguments& arguments);
int Apply(api_client& client, const command_arguments& arguments);
int Show(api_client& client, const command_arguments& arguments);
int History(api_client& client, const command_arguments& arguments);
int Status(api_client& client, const command_arguments& arguments);
int Drain(api_client& client, const command_arguments& arguments);
int Undrain(api_client& client, const command_arguments& arguments);
int Dump(api_client& client, const command_arguments& arguments);

/// Commands for users of a workspace.
int Request(api_client& client, const command_arguments& arguments);
int Outcome(api_client& client, const command_arguments& arguments);
int Submit(api_client& client, const command_arguments& arguments);
int Job(api_client& client, const command_arguments& arguments);
int Wait(api_client& client, const command_arguments& arguments);
int Cancel(api_client& client, const command_arguments& arguments);
int List(api_client& client, const command_arguments& arguments);

}  // namespace hickorystall::programs::cli
