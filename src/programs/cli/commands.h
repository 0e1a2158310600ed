#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "programs/cli/api_client.h"

namespace hickorystall::programs::cli {

/// Exit status of a command that succeeded.
constexpr int kExitDone = 0;
/// Exit status of a command that was refused or whose answer was lost.
constexpr int kExitRefused = 1;
/// Exit status for a wrong command line.
constexpr int kExitUsage = 2;

/// Arguments of all commands; each command reads its own.
struct command_arguments {
  /// Document or body to send; "-" for standard input.
  std::string file;
  /// Version that a change starts from.
  std::int64_t base = 0;
  /// Version to show; 0 for the newest.
  std::int64_t version = 0;
  /// Entries of the history.
  int limit = 20;
  /// VM, kind, key or job.
  std::string name;
  /// Jobs to cancel.
  std::vector<std::string> jobs;
  /// Idempotency key; empty for none, or a random one where the command needs it.
  std::string key;
  /// Request id of the caller; empty for none.
  std::string request_id;
  /// Body given on the command line.
  std::string body;
  /// Time to wait for a change of a job.
  std::int64_t wait_ms = 0;
};

/// Each command sends its request, prints the answer and returns the exit status.
using command = int (*)(api_client& client, const command_arguments& arguments);

/// Operators' commands.
int Validate(api_client& client, const command_arguments& arguments);
int DryRun(api_client& client, const command_arguments& arguments);
int Apply(api_client& client, const command_arguments& arguments);
int Show(api_client& client, const command_arguments& arguments);
int History(api_client& client, const command_arguments& arguments);
int Status(api_client& client, const command_arguments& arguments);
int Drain(api_client& client, const command_arguments& arguments);
int Undrain(api_client& client, const command_arguments& arguments);
int Dump(api_client& client, const command_arguments& arguments);

/// Callers' commands.
int Request(api_client& client, const command_arguments& arguments);
int Outcome(api_client& client, const command_arguments& arguments);
int Submit(api_client& client, const command_arguments& arguments);
int Job(api_client& client, const command_arguments& arguments);
int Wait(api_client& client, const command_arguments& arguments);
int Cancel(api_client& client, const command_arguments& arguments);
int List(api_client& client, const command_arguments& arguments);

}  // namespace hickorystall::programs::cli
