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

// The command line of one run.
struct parsed_line {
  connection_options connection;
  command_arguments arguments;
  std::int64_t timeout_ms = 30000;
  command chosen = nullptr;
};

void AddConnectionOptions(CLI::App& app, parsed_line& line) {
  app.add_option("--endpoint", line.connection.endpoint, "ip:port of an admin instance or a gateway")
      ->envname("HICKORYSTALL_ENDPOINT")
      ->required();
  app.add_option("--token", line.connection.token, "Token of the operator or workspace")
      ->envname("HICKORYSTALL_TOKEN")
      ->required();
  app.add_option("--workspace", line.connection.workspace, "Workspace of a caller")
      ->envname("HICKORYSTALL_WORKSPACE");
  app.add_option("--operator", line.connection.operator_name, "Name of the operator, for the history")
      ->envname("HICKORYSTALL_OPERATOR");
  app.add_option("--timeout-ms", line.timeout_ms, "Time for one exchange, in milliseconds")
      ->check(CLI::Range(1, 3600000))
      ->capture_default_str();
}

CLI::App* AddCommand(CLI::App& app, parsed_line& line, const std::string& name,
                     const std::string& description, command run) {
  CLI::App* added = app.add_subcommand(name, description);
  added->callback([&line, run] { line.chosen = run; });
  return added;
}

void AddOperatorCommands(CLI::App& app, parsed_line& line) {
  command_arguments& arguments = line.arguments;
  const std::string file_help = "Configuration document, JSON with comments; - for standard input";
  CLI::App* validate = AddCommand(app, line, "validate", "Check a configuration document", cli::Validate);
  validate->add_option("file", arguments.file, file_help)->required();
  CLI::App* dry_run = AddCommand(app, line, "dry-run", "Show the effect of a document", cli::DryRun);
  dry_run->add_option("file", arguments.file, file_help)->required();
  CLI::App* apply = AddCommand(app, line, "apply", "Put a document in force", cli::Apply);
  apply->add_option("file", arguments.file, file_help)->required();
  apply->add_option("--base", arguments.base, "Version that the document was made from; 0 for the first")
      ->required()
      ->check(CLI::NonNegativeNumber);
  apply->add_option("--key", arguments.key, "Key that makes repeated runs one change; random when absent");
  CLI::App* show = AddCommand(app, line, "show", "Print a configuration document", cli::Show);
  show->add_option("--version", arguments.version, "Version to print; the newest when absent")
      ->check(CLI::PositiveNumber);
  CLI::App* history = AddCommand(app, line, "history", "List who changed what and when", cli::History);
  history->add_option("--limit", arguments.limit, "Changes to list, the newest first")
      ->check(CLI::Range(1, 200))
      ->capture_default_str();
  AddCommand(app, line, "status", "Show which instance holds which version", cli::Status);
  CLI::App* drain = AddCommand(app, line, "drain", "Give a VM no new work", cli::Drain);
  drain->add_option("vm", arguments.name, "Name of the VM")->required();
  CLI::App* undrain = AddCommand(app, line, "undrain", "Give a VM work again", cli::Undrain);
  undrain->add_option("vm", arguments.name, "Name of the VM")->required();
  AddCommand(app, line, "dump", "Print the state of the instance", cli::Dump);
}

void AddCallerCommands(CLI::App& app, parsed_line& line) {
  command_arguments& arguments = line.arguments;
  CLI::App* request = AddCommand(app, line, "request", "Send a request and print its answer", cli::Request);
  request->add_option("kind", arguments.name, "Kind of the request")->required();
  request->add_option("--body", arguments.body, "Body to send");
  request->add_option("--file", arguments.file, "File with the body; - for standard input");
  request->add_option("--key", arguments.key, "Idempotency key, required for a non-idempotent kind");
  request->add_option("--request-id", arguments.request_id, "Id that comes back with the answer");
  CLI::App* outcome = AddCommand(app, line, "outcome", "Print the outcome of an order", cli::Outcome);
  outcome->add_option("key", arguments.name, "Idempotency key of the order")->required();
  CLI::App* submit = AddCommand(app, line, "submit", "Submit a job", cli::Submit);
  submit->add_option("file", arguments.file, "Job as JSON; - for standard input")->required();
  submit->add_option("--key", arguments.key, "Idempotency key; random when absent");
  CLI::App* job = AddCommand(app, line, "job", "Print a job", cli::Job);
  job->add_option("job", arguments.name, "Job id")->required();
  job->add_option("--wait-ms", arguments.wait_ms, "Time to wait for a change, in milliseconds")
      ->check(CLI::NonNegativeNumber);
  CLI::App* wait = AddCommand(app, line, "wait", "Wait until a job has ended", cli::Wait);
  wait->add_option("job", arguments.name, "Job id")->required();
  wait->add_option("--limit-ms", arguments.wait_ms, "Longest wait in milliseconds; 0 for no limit")
      ->check(CLI::NonNegativeNumber);
  CLI::App* cancel = AddCommand(app, line, "cancel", "Cancel jobs", cli::Cancel);
  cancel->add_option("jobs", arguments.jobs, "Job ids")->required();
  AddCommand(app, line, "list", "List the jobs of the workspace", cli::List);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Command-line client for operators and callers of hickorystall", "hickorystall"};
  app.set_version_flag("--version", std::string("hickorystall ") + HICKORYSTALL_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  parsed_line line;
  AddConnectionOptions(app, line);
  AddOperatorCommands(app, line);
  AddCallerCommands(app, line);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsage;
  }
  line.connection.timeout = std::chrono::milliseconds(line.timeout_ms);
  api_client client(line.connection);
  return line.chosen(client, line.arguments);
}
