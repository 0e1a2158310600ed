#include "tests/support/harness/scheduler_cluster.h"

#include <cstdlib>
#include <iostream>
#include <stdexcept>

#include "protocol/job_codec.h"
#include "tests/support/harness/gang_checker.h"

namespace hickorystall::harness {

using nlohmann::json;
using state::job_record;
using std::chrono::milliseconds;

namespace {

constexpr const char* kPool = "region-1";
constexpr int kWorkersPerRack = 4;

// Prints the seed, so that a failed test can be repeated with it.
unsigned ChooseSeed() {
  const char* from_environment = std::getenv("HICKORYSTALL_SEED");
  const unsigned seed = from_environment != nullptr
                            ? static_cast<unsigned>(std::strtoul(from_environment, nullptr, 10))
                            : std::random_device{}();
  std::cout << "HICKORYSTALL_SEED=" << seed << std::endl;
  return seed;
}

cluster_options MakeClusterOptions(const scheduler_cluster_options& options) {
  cluster_options result;
  result.vms = options.schedulers;
  result.roles = {role::kScheduler};
  // Shorter than the production settings, but in the same relation to each other, so that a test takes
  // seconds.
  json scheduler = {{"worker_wait_ms", 1000}, {"task_lease_ms", 4000}, {"task_renew_ms", 1000}};
  scheduler.merge_patch(options.scheduler);
  result.settings = {{"drain_notice_ms", 100}, {"scheduler", scheduler}};
  return result;
}

}  // namespace

scheduler_cluster::scheduler_cluster(scheduler_cluster_options options)
    : seed_(ChooseSeed()), random_(seed_), cluster_(MakeClusterOptions(options)), control_port_(FreePort()) {
  std::vector<std::string> arguments{"--control", "127.0.0.1:" + std::to_string(control_port_)};
  for (int i = 1; i <= options.workers; ++i) {
    const std::string name = "w" + std::to_string(i);
    worker_ports_[name] = FreePort();
    arguments.insert(arguments.end(),
                     {"--worker", name + "=127.0.0.1:" + std::to_string(worker_ports_[name])});
  }
  cluster_.StartProgram("standin-worker", arguments, "workers");
  if (!WaitForPort(control_port_, std::chrono::seconds(20)))
    throw std::runtime_error("standin-worker did not open its control port");
  cluster_.StartAll();
  config_ = MakeConfig(options);
  const std::int64_t version = cluster_.WriteConfigRows(config_.dump());
  if (!cluster_.WaitForVersion(version) || !cluster_.WaitReady()) {
    throw std::runtime_error("schedulers are not ready:\n" + Scheduler(1).program->Log());
  }
}

json scheduler_cluster::MakeConfig(const scheduler_cluster_options& options) {
  json racks = json::array();
  json vms = json::array();
  for (int i = 1; i <= options.workers; ++i) {
    const std::string name = "w" + std::to_string(i);
    const std::string rack = "rack-" + std::to_string((i - 1) / kWorkersPerRack + 1);
    if ((i - 1) % kWorkersPerRack == 0) racks.push_back({{"name", rack}, {"failure_domain", "fd-1"}});
    vms.push_back({{"name", name},
                   {"address", "127.0.0.1:" + std::to_string(worker_ports_.at(name))},
                   {"rack", rack},
                   {"kind", "worker"},
                   {"processors", 128},
                   {"memory_mib", 262144},
                   {"accelerators", 8}});
  }
  const std::string digest(64, 'a');
  const json workspaces = {
      {{"name", "alpha"}, {"token_sha256", digest}, {"guarantees", options.guarantees}},
      {{"name", "beta"}, {"token_sha256", std::string(64, 'b')}, {"guarantees", json::array()}}};
  const json kinds = {{{"name", "match"}, {"kind", "job"}}};
  return {{"inventory",
           {{"failure_domains", {"fd-1"}}, {"racks", racks}, {"vms", vms}, {"workspaces", workspaces}}},
          {"rules", {{"kinds", kinds}}}};
}

void scheduler_cluster::RemoveLastWorker() {
  json& vms = config_["inventory"]["vms"];
  vms.erase(vms.size() - 1);
  const std::int64_t version = cluster_.WriteConfigRows(config_.dump());
  if (!cluster_.WaitForVersion(version))
    throw std::runtime_error("the schedulers did not apply the configuration");
}

int scheduler_cluster::OwnerVm() {
  const json epoch = json::parse(cluster_.ReadRow(protocol::PoolEpochKey(kPool)), nullptr, false);
  if (!epoch.is_object() || epoch.value("released", false)) return 0;
  const std::string owner = epoch.value("owner", "");
  const std::size_t dash = owner.rfind('-');
  return dash == std::string::npos ? 0 : std::atoi(owner.c_str() + dash + 1);
}

int scheduler_cluster::WaitForOtherOwner(int vm, milliseconds timeout) {
  int owner = 0;
  const bool found = WaitUntil(
      [&] {
        owner = OwnerVm();
        return owner != 0 && owner != vm;
      },
      timeout);
  return found ? owner : 0;
}

json scheduler_cluster::MakeJobRow(const std::string& id, const std::string& workspace, const json& spec) {
  json merged = {{"kind", "match"}, {"members", 1},       {"accelerators", 1},
                 {"processors", 1}, {"memory_mib", 1024}, {"run_time_ms", 1000}};
  merged.merge_patch(spec);
  const auto parsed = protocol::ParseJobSpec(merged.dump());
  if (!parsed.ok()) throw std::invalid_argument(std::string(parsed.status().message()));
  job_record record;
  record.id = id;
  record.workspace = workspace;
  record.spec = *parsed;
  record.submitted_at = std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
  members_[id] = record.spec.members;
  return {{"key", protocol::InboxSubmitKey(kPool, id)}, {"value", protocol::EncodeJobRecord(record, "test")}};
}

void scheduler_cluster::Transact(const json& puts) {
  const test_response response =
      SendOnce(cluster_.platform_port(), JsonRequest("POST", "/v1/transact", {{"puts", puts}}));
  if (response.status != 200)
    throw std::runtime_error("the platform refused the transaction: " + response.body);
}

std::string scheduler_cluster::Submit(const std::string& workspace, const json& spec) {
  return SubmitMany(workspace, spec, 1).front();
}

std::vector<std::string> scheduler_cluster::SubmitMany(const std::string& workspace, const json& spec,
                                                       int count) {
  std::vector<std::string> ids;
  json puts = json::array();
  for (int i = 0; i < count; ++i) {
    ids.push_back("job-" + std::to_string(++next_job_));
    puts.push_back(MakeJobRow(ids.back(), workspace, spec));
  }
  Transact(puts);
  return ids;
}

void scheduler_cluster::Cancel(const std::vector<std::string>& ids) {
  json puts = json::array();
  for (const std::string& id : ids)
    puts.push_back({{"key", protocol::InboxCancelKey(kPool, id)}, {"value", "{}"}});
  Transact(puts);
}

std::optional<job_record> scheduler_cluster::Job(const std::string& id) {
  const auto record = protocol::DecodeJobRecord(cluster_.ReadRow(protocol::JobKey(kPool, id)));
  if (!record.ok()) return std::nullopt;
  return *record;
}

bool scheduler_cluster::WaitForState(const std::string& id, state::job_state wanted, milliseconds timeout) {
  return WaitUntil(
      [&] {
        const auto record = Job(id);
        return record.has_value() && record->state == wanted;
      },
      timeout);
}

std::vector<json> scheduler_cluster::ScanRows(const std::string& prefix) {
  std::vector<json> rows;
  for (bool more = true; more;) {
    const std::string after = rows.empty() ? "" : rows.back().at("key").get<std::string>();
    const std::string target = "/v1/scan?prefix=" + transport::PercentEncode(prefix) +
                               "&after=" + transport::PercentEncode(after) + "&limit=1000";
    const json page = SendOnce(cluster_.platform_port(), {"GET", target, {}, ""}).Json();
    if (!page.is_object()) throw std::runtime_error("the platform did not return the rows of a scan");
    for (const json& row : page.at("rows")) rows.push_back(row);
    more = page.at("more").get<bool>() && !page.at("rows").empty();
  }
  return rows;
}

std::size_t scheduler_cluster::CountRows(const std::string& prefix) { return ScanRows(prefix).size(); }

std::map<std::string, int> scheduler_cluster::CountStates() {
  std::map<std::string, int> counts;
  for (const json& row : ScanRows(protocol::JobPrefix(kPool))) {
    const auto record = protocol::DecodeJobRecord(row.at("value").get<std::string>());
    if (record.ok()) ++counts[std::string(state::JobStateName(record->state))];
  }
  return counts;
}

bool scheduler_cluster::WaitForAllFinal(milliseconds timeout) {
  return WaitUntil(
      [&] {
        const std::map<std::string, int> counts = CountStates();
        int final_jobs = 0;
        for (const auto& [name, count] : counts) {
          if (state::IsFinal(*state::ParseJobState(name))) final_jobs += count;
        }
        return final_jobs == next_job_;
      },
      timeout);
}

void scheduler_cluster::SetFaults(const std::string& worker, const json& faults) {
  const auto response =
      SendOnce(control_port_, JsonRequest("POST", "/v1/workers/" + worker + "/faults", faults));
  if (response.status != 200) throw std::runtime_error("standin-worker refused the faults");
}

void scheduler_cluster::RestartWorker(const std::string& worker) {
  const auto response =
      SendOnce(control_port_, JsonRequest("POST", "/v1/workers/" + worker + "/restart", json::object()));
  if (response.status != 200) throw std::runtime_error("standin-worker refused the restart");
}

json scheduler_cluster::WorkerLog() { return SendOnce(control_port_, {"GET", "/v1/log", {}, ""}).Json(); }

std::optional<std::chrono::steady_clock::time_point> scheduler_cluster::FirstWorkTime(const std::string& id) {
  std::optional<std::chrono::steady_clock::time_point> first;
  const json log = WorkerLog();
  for (const json& event : log.at("events")) {
    if (!event.at("working").get<bool>() || !event.at("lease").get<std::string>().starts_with(id + "."))
      continue;
    const std::chrono::steady_clock::time_point at{
        std::chrono::microseconds(event.at("at_us").get<std::int64_t>())};
    if (!first.has_value() || at < *first) first = at;
  }
  return first;
}

std::vector<std::string> scheduler_cluster::Violations(milliseconds partial_limit) {
  return FindGangViolations(WorkerLog(), members_, partial_limit);
}

std::chrono::microseconds scheduler_cluster::LongestPartialRun() {
  return harness::LongestPartialRun(WorkerLog(), members_);
}

json scheduler_cluster::Dump(int vm) {
  const transport::http_request request{
      "GET", "/dump", {{"Authorization", std::string("Bearer ") + kOperatorToken}}, ""};
  const json dump = SendOnce(Scheduler(vm).http_port, request).Json();
  return dump.is_object() ? dump.value("scheduler", json::object()) : json::object();
}

}  // namespace hickorystall::harness
