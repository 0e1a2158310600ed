#include "report.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <functional>
#include <future>
#include <utility>
#include <vector>

#include "cluster_run.h"
#include "decision_cost.h"
#include "load.h"
#include "measures.h"

namespace hickorystall::benchmark {
namespace {

/// Maximum simulated time of a run beyond its horizon.
constexpr std::chrono::hours kLimit{48};

/// Formats like printf, up to 511 characters.
std::string Format(const char* format, ...) {
  char text[512];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  return text;
}

constexpr const char* kHeader =
    "| policy | urgent p99 s | mean completion s | fragmentation | gang wait ratio | longest queue s | late "
    "/ "
    "guaranteed | lost % | utilisation | deadlines missed | refused | failed attempts | reclaims |\n"
    "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";

/// Returns the table row of `m`.
std::string Row(std::string_view policy, const run_measures& m) {
  return Format("| %s | %.1f | %.0f | %.4f | %.1f | %.0f | %d / %d | %.3f | %.3f | %d | %d | %d | %d |\n",
                std::string(policy).c_str(), m.urgent_p99_s, m.mean_completion_s, m.fragmentation,
                m.gang_wait_ratio, m.longest_wait_s, m.guarantees_late, m.guaranteed, m.lost * 100,
                m.utilisation, m.deadlines_missed, m.refused, m.failures, m.reclaims);
}

/// Returns how the report marks a target.
const char* Verdict(bool met) { return met ? "met" : "MISSED"; }

/// Returns the mean run time in seconds of the jobs that are not impossible, a lower bound of the mean
/// completion time under any policy.
double MeanRunTime(const load& input) {
  double sum = 0;
  int count = 0;
  for (const load_job& job : input.jobs) {
    if (job.impossible) continue;
    sum += static_cast<double>(job.run_time.count()) / 1000;
    ++count;
  }
  return sum / count;
}

/// Returns the list of required targets for one load, with how `ours` compares to the better of `baselines`.
std::string Targets(const load& input, const run_measures& ours, const std::vector<run_measures>& baselines) {
  double completion = baselines[0].mean_completion_s;
  double fragmentation = baselines[0].fragmentation;
  double utilisation = baselines[0].utilisation;
  for (const run_measures& other : baselines) {
    completion = std::min(completion, other.mean_completion_s);
    fragmentation = std::min(fragmentation, other.fragmentation);
    utilisation = std::max(utilisation, other.utilisation);
  }
  std::string text = "\n";
  text += Format("- urgent start p99 at most 4.3 s: %.1f s, %s\n", ours.urgent_p99_s,
                 Verdict(ours.urgent_p99_s <= 4.3));
  text += Format(
      "- mean completion at least 25%% below the better baseline: %+.1f%%, %s (mean run time alone: "
      "%+.1f%%)\n",
      (ours.mean_completion_s / completion - 1) * 100, Verdict(ours.mean_completion_s <= 0.75 * completion),
      (MeanRunTime(input) / completion - 1) * 100);
  text += fragmentation == 0
              ? Format("- fragmentation: a baseline has none, ours %.4f\n", ours.fragmentation)
              : Format("- fragmentation at least 40%% below the better baseline: %+.1f%%, %s\n",
                       (ours.fragmentation / fragmentation - 1) * 100,
                       Verdict(ours.fragmentation <= 0.6 * fragmentation));
  text += Format("- longest gang wait at most twice a single-accelerator job's: %.1f, %s\n",
                 ours.gang_wait_ratio, Verdict(ours.gang_wait_ratio <= 2));
  text += Format("- no guarantee late: %d of %d, %s\n", ours.guarantees_late, ours.guaranteed,
                 Verdict(ours.guarantees_late == 0));
  text +=
      Format("- work lost to reclaim under 2%%: %.3f%%, %s\n", ours.lost * 100, Verdict(ours.lost < 0.02));
  text += Format("- utilisation not below the baseline's: %.3f against %.3f, %s\n", ours.utilisation,
                 utilisation, Verdict(ours.utilisation >= utilisation));
  text += Format("- every impossible job refused, every other one ended: %d and %d left, %s\n",
                 ours.impossible_not_refused, ours.unfinished,
                 Verdict(ours.impossible_not_refused + ours.unfinished == 0));
  return text;
}

/// Returns the section of one load with its table and targets.
std::string LoadSection(const load& input) {
  const std::vector<const state::scheduling_policy*> policies{
      &state::kDefaultPolicy, &state::kFirstComeFirstServed, &state::kBestFitBackfill};
  std::string text = Format("\n## %s\n\nSeed %llu, %zu jobs.\n\n", input.name.c_str(),
                            static_cast<unsigned long long>(input.seed), input.jobs.size());
  text += kHeader;
  std::vector<run_measures> measures;
  for (const state::scheduling_policy* policy : policies) {
    measures.push_back(Measure(cluster_run(input, *policy).Run(kLimit)));
    text += Row(policy->name, measures.back());
  }
  return text + Targets(input, measures[0], {measures[1], measures[2]});
}

/// Returns the section on the cost of decisions.
std::string CostSection(std::uint64_t seed) {
  std::string text =
      "\n## Time of one decision\n\nReal time on this machine, which other work shared. Steady: the state at "
      "the end of "
      "a day. Burst: one hour's arrivals at once on top.\n\n"
      "| size | tasks | waiting | steady median ms | steady least ms | burst median ms | burst least ms |\n"
      "|---|---|---|---|---|---|---|\n";
  std::vector<decision_cost> costs;
  for (double factor : {0.125, 0.25, 0.5, 1.0, 2.0}) {
    const decision_cost& c = costs.emplace_back(MeasureDecisionCost(seed, factor));
    text += Format("| %.3f | %d | %d | %.2f | %.2f | %.2f | %.2f |\n", c.factor, c.tasks, c.waiting,
                   c.steady_median_ms, c.steady_least_ms, c.burst_median_ms, c.burst_least_ms);
  }
  text += Format("\n- under 5 ms at the two-year size: steady %.2f ms, %s; burst %.2f ms, %s\n",
                 costs[3].steady_median_ms, Verdict(costs[3].steady_median_ms < 5), costs[3].burst_median_ms,
                 Verdict(costs[3].burst_median_ms < 5));
  const double steady = costs[4].steady_least_ms / costs[1].steady_least_ms;
  const double burst = costs[4].burst_least_ms / costs[1].burst_least_ms;
  text +=
      Format("- from 1/4 to 2 times the size n log n grows by 11.1: steady by %.1f, %s; burst by %.1f, %s\n",
             steady, Verdict(steady <= 11.1), burst, Verdict(burst <= 11.1));
  return text;
}

/// The default policy with one mechanism changed.
struct variant {
  /// Name in the table.
  const char* name;
  /// Applies the change to a policy.
  void (*change)(state::scheduling_policy& policy);
};

constexpr variant kVariants[] = {
    {"all mechanisms", [](state::scheduling_policy&) {}},
    {"order by age", [](state::scheduling_policy& p) { p.order = state::OrderByAge; }},
    {"best-fit placement", [](state::scheduling_policy& p) { p.placement = &state::kBestFit; }},
    {"no reservations", [](state::scheduling_policy& p) { p.reservations = 0; }},
    {"two reservations", [](state::scheduling_policy& p) { p.reservations = 2; }},
    {"four reservations", [](state::scheduling_policy& p) { p.reservations = 4; }},
    {"no guarantees", [](state::scheduling_policy& p) { p.guarantees = false; }},
    {"no reclaim for urgent work", [](state::scheduling_policy& p) { p.reclaim_for_urgent = false; }},
    {"no moves", [](state::scheduling_policy& p) { p.defragment = false; }},
    {"declared run times", [](state::scheduling_policy& p) { p.learned_run_times = false; }},
    {"no refusal of late jobs", [](state::scheduling_policy& p) { p.refuse_late = false; }},
    {"no probation", [](state::scheduling_policy& p) { p.probation = false; }},
};

/// Returns the section of one load with a row for each variant.
std::string AblationSection(const load& input) {
  std::string text = Format("\n## %s, mechanisms\n\nSeed %llu.\n\n", input.name.c_str(),
                            static_cast<unsigned long long>(input.seed));
  text += kHeader;
  for (const variant& changed : kVariants) {
    state::scheduling_policy policy = state::kDefaultPolicy;
    changed.change(policy);
    text += Row(changed.name, Measure(cluster_run(input, policy).Run(kLimit)));
  }
  return text;
}

/// Returns the sections of all `loads` in order. Several of them are computed in parallel.
std::string Sections(const std::vector<load>& loads, std::string (*section)(const load&)) {
  std::string text;
  constexpr std::size_t kParallelSections = 3;
  for (std::size_t first = 0; first < loads.size(); first += kParallelSections) {
    std::vector<std::future<std::string>> parts;
    for (std::size_t i = first; i < std::min(first + kParallelSections, loads.size()); ++i) {
      parts.push_back(std::async(std::launch::async, section, std::cref(loads[i])));
    }
    for (std::future<std::string>& part : parts) text += part.get();
  }
  return text;
}

}  // namespace

std::string CostReport(std::uint64_t seed) { return CostSection(seed); }

std::string FullReport(std::uint64_t seed) {
  const std::string text =
      "# Results of the scheduling benchmark\n\n"
      "Written by `scheduling-benchmark --output docs/results.md`. Simulated time on a manual clock; a "
      "reclaim takes "
      "1 s, starts take none. The queue time of a job counts every stay in the queue.\n";
  const std::string cost = CostSection(seed);
  return text + Sections(MakeLoads(seed, false), LoadSection) + cost;
}

std::string AblationReport(std::uint64_t seed) {
  std::vector<load> loads = MakeLoads(seed, true);
  std::erase_if(loads, [](const load& input) {
    return input.name.starts_with("cancel") || input.name.starts_with("impossible") ||
           input.name.starts_with("rack") || input.name.starts_with("burst");
  });
  return "# Mechanisms of the policy\n" + Sections(loads, AblationSection);
}

}  // namespace hickorystall::benchmark
