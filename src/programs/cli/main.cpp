#include <CLI/CLI.hpp>
#include <iostream>
#include <string>

#include "programs/cli/api_client.h"
#include "programs/cli/commands.h"

namespace {

using hickorystall::programs::cli::api_client;
using hickorystall::programs::cli::command;
using hickorystall::programs::cli::command_arguments;
using hickorystall::programs::cli::connection_options;
using hickorystall::programs::cli::kExitUsage;
namespace cli = hickorystall::programs::cli;

// The parsed command line.
struct invocation {
  connection_options connection;
  command_arguments arguments;
  std::int64_t timeout_ms = 30000;
  command selected = nullptr;
};

void AddConnectionOptions(CLI::App& app, invocation& parsed) {
  app.add_option("--endpoint", parsed.connection.endpoint, "ip:port of an admin instance or a gateway")
      ->envname("HICKORYSTALL_ENDPOINT")
      ->required();
  app.add_option("--token", parsed.connection.token, "Token of the operator or workspace")
      ->envname("HICKORYSTALL_TOKEN")
      ->required();
  app.add_option("--workspace", parsed.connection.workspace, "Workspace that the token belongs to")
      ->envname("HICKORYSTALL_WORKSPACE");
  app.add_option("--operator", parsed.connection.operator_name,
                 "Name of the operator, recorded in the history")
      ->envname("HICKORYSTALL_OPERATOR");
  app.add_option("--timeout-ms", parsed.timeout_ms, "Time limit for each request, in milliseconds")
      ->check(CLI::Range(1, 3600000))
      ->capture_default_str();
}

CLI::App* AddCommand(CLI::App& app, invocation& parsed, const std::string& name,
                     const std::string& description, command run) {
  CLI::App* added = app.add_subcommand(name, description);
  added->callback([&parsed, run] { parsed.selected = run; });
  return added;
}

void AddOperatorCommands(CLI::App& app, invocation& parsed) {
  command_arguments& arguments = parsed.arguments;
  const std::string file_help = "Configuration document, JSON with comments; - for standard input";
  CLI::App* validate = AddCommand(app, parsed, "validate", "Check a configuration document", cli::Validate);
  validate->add_option("file", arguments.file, file_help)->required();
  CLI::App* dry_run =
      AddCommand(app, parsed, "dry-run", "Show the effect of a configuration document", cli::DryRun);
  dry_run->add_option("file", arguments.file, file_help)->required();
  CLI::App* apply = AddCommand(app, parsed, "apply", "Apply a configuration document", cli::Apply);
  apply->add_option("file", arguments.file, file_help)->required();
  apply->add_option("--base", arguments.base, "Version that the document is based on; 0 for the first")
      ->required()
      ->check(CLI::NonNegativeNumber);
  apply->add_option("--key", arguments.key, "Idempotency key; random when absent");
  CLI::App* show = AddCommand(app, parsed, "show", "Print a configuration document", cli::Show);
  show->add_option("--version", arguments.version, "Version to print; the newest when absent")
      ->check(CLI::PositiveNumber);
  CLI::App* history = AddCommand(app, parsed, "history", "List the configuration changes", cli::History);
  history->add_option("--limit", arguments.limit, "Maximum number of changes to list, newest first")
      ->check(CLI::Range(1, 200))
      ->capture_default_str();
  AddCommand(app, parsed, "status", "Show which instance holds which version", cli::Status);
  CLI::App* drain = AddCommand(app, parsed, "drain", "Stop assigning new work to a VM", cli::Drain);
  drain->add_option("vm", arguments.name, "Name of the VM")->required();
  CLI::App* undrain = AddCommand(app, parsed, "undrain", "Resume assigning work to a VM", cli::Undrain);
  undrain->add_option("vm", arguments.name, "Name of the VM")->required();
  AddCommand(app, parsed, "dump", "Print the state of the instance", cli::Dump);
}

void AddWorkspaceCommands(CLI::App& app, invocation& parsed) {
  command_arguments& arguments = parsed.arguments;
  CLI::App* request =
      AddCommand(app, parsed, "request", "Send a request and print its response", cli::Request);
  request->add_option("kind", arguments.name, "Kind of the request")->required();
  request->add_option("--body", arguments.body, "Body to send");
  request->add_option("--file", arguments.file, "File with the body; - for standard input");
  request->add_option("--key", arguments.key, "Idempotency key, required for a non-idempotent kind");
  request->add_option("--request-id", arguments.request_id, "Request id, returned with the response");
  CLI::App* outcome = AddCommand(app, parsed, "outcome",
                                 "Print the outcome of a request with an idempotency key", cli::Outcome);
  outcome->add_option("key", arguments.name, "Idempotency key of the request")->required();
  CLI::App* submit = AddCommand(app, parsed, "submit", "Submit a job", cli::Submit);
  submit->add_option("file", arguments.file, "Job as JSON; - for standard input")->required();
  submit->add_option("--key", arguments.key, "Idempotency key; random when absent");
  CLI::App* job = AddCommand(app, parsed, "job", "Print a job", cli::Job);
  job->add_option("job", arguments.name, "Job id")->required();
  job->add_option("--wait-ms", arguments.wait_ms, "Time to wait for a change, in milliseconds")
      ->check(CLI::NonNegativeNumber);
  CLI::App* wait = AddCommand(app, parsed, "wait", "Wait until a job has ended", cli::Wait);
  wait->add_option("job", arguments.name, "Job id")->required();
  wait->add_option("--limit-ms", arguments.wait_ms, "Maximum time to wait, in milliseconds; 0 for no limit")
      ->check(CLI::NonNegativeNumber);
  CLI::App* cancel = AddCommand(app, parsed, "cancel", "Cancel jobs", cli::Cancel);
  cancel->add_option("jobs", arguments.jobs, "Job ids")->required();
  AddCommand(app, parsed, "list", "List the jobs of the workspace", cli::List);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Command-line client for operators and users of hickorystall", "hickorystall"};
  app.set_version_flag("--version", std::string("hickorystall ") + HICKORYSTALL_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  invocation parsed;
  AddConnectionOptions(app, parsed);
  AddOperatorCommands(app, parsed);
  AddWorkspaceCommands(app, parsed);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsage;
  }
  parsed.connection.timeout = std::chrono::milliseconds(parsed.timeout_ms);
  api_client client(parsed.connection);
  return parsed.selected(client, parsed.arguments);
}
