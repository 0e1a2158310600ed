#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <string>

#include "checks.h"
#include "decision_cost.h"
#include "load.h"
#include "report.h"

/// Runs the loads under the policies and prints the measures with the targets, or runs one of the partial
/// modes that the options select.
int main(int argc, char** argv) {
  namespace benchmark = hickorystall::benchmark;
  CLI::App app("Scheduling benchmark: loads x policies on a manual clock");
  std::uint64_t seed = 1;
  bool check = false;
  bool ablation = false;
  bool cost = false;
  std::string output;
  app.add_option("--seed", seed, "seed of the loads");
  app.add_flag("--check", check, "run the short set of loads and exit 1 when a bound is broken");
  app.add_flag("--ablation", ablation, "run the evening peaks with each mechanism switched off");
  app.add_flag("--cost", cost, "measure only the time of one decision");
  app.add_option("--output", output, "also write the tables to this file");
  CLI11_PARSE(app, argc, argv);
  if (cost) {
    std::fputs(benchmark::CostReport(seed).c_str(), stdout);
    return 0;
  }
  if (check) return benchmark::RunChecks(seed) ? 0 : 1;
  const std::string report = ablation ? benchmark::AblationReport(seed) : benchmark::FullReport(seed);
  std::fputs(report.c_str(), stdout);
  if (!output.empty()) std::ofstream(output) << report;
  return 0;
}
