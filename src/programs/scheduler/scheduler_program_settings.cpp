#include "programs/scheduler/scheduler_program_settings.h"

#include "state/json/located_json.h"

namespace hickorystall::programs::scheduler {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMinDuration{1};
constexpr milliseconds kMaxDuration = std::chrono::hours(1);
constexpr milliseconds kMaxRetention = std::chrono::hours(24 * 90);

void ReadSchedulerSettings(state::object_reader& reader, coordination::scheduler_settings& settings) {
  reader.Read("pool_term_ms", settings.lease.term, kMinDuration, kMaxDuration);
  reader.Read("pool_renew_ms", settings.lease.renew_interval, kMinDuration, kMaxDuration);
  reader.Read("pool_margin_ms", settings.lease.margin, kMinDuration, kMaxDuration);
  reader.Read("pool_challenge_ms", settings.lease.challenge_interval, kMinDuration, kMaxDuration);
  if (settings.lease.renew_interval + settings.lease.margin >= settings.lease.term) {
    reader.Fail("pool_term_ms", "must be longer than pool_renew_ms and pool_margin_ms together");
  }
  reader.Read("retention_ms", settings.store.retention, kMinDuration, kMaxRetention);
  reader.Read("worker_wait_ms", settings.watcher.wait, kMinDuration, kMaxDuration);
  reader.Read("worker_grace_ms", settings.watcher.grace, kMinDuration, kMaxDuration);
  reader.Read("command_timeout_ms", settings.gangs.command_timeout, kMinDuration, kMaxDuration);
  reader.Read("start_limit_ms", settings.gangs.start_limit, kMinDuration, kMaxDuration);
  reader.Read("checkpoint_timeout_ms", settings.gangs.checkpoint_timeout, kMinDuration, kMaxDuration);
  reader.Read("max_failures", settings.gangs.max_failures, 1, 1000);
  reader.Read("task_lease_ms", settings.gangs.lease_term, kMinDuration, kMaxDuration);
  reader.Read("task_renew_ms", settings.renewer.interval, kMinDuration, kMaxDuration);
  if (settings.renewer.interval * 2 > settings.gangs.lease_term) {
    reader.Fail("task_renew_ms", "must be at most half of task_lease_ms, so that one renewal may be lost");
  }
  reader.Read("inbox_poll_ms", settings.inbox_interval, kMinDuration, kMaxDuration);
  reader.Read("vm_list_ms", settings.vm_list_interval, kMinDuration, kMaxDuration);
  reader.Finish();
}

// Sets the settings that are derived from others.
void DeriveSettings(scheduler_program_settings& settings) {
  coordination::scheduler_settings& scheduler = settings.scheduler;
  const std::string& pool = settings.server.region;
  scheduler.lease.pool = scheduler.store.pool = scheduler.gangs.pool = scheduler.renewer.pool = pool;
  scheduler.lease.instance = scheduler.renewer.instance = settings.server.instance;
  scheduler.renewer.lease_term = scheduler.gangs.lease_term;
  scheduler.gangs.revocation_lag = scheduler.renewer.interval + scheduler.renewer.call_timeout * 2;
}

}  // namespace

scheduler_program_settings ParseSchedulerSettings(std::string_view text,
                                                  std::vector<state::document_error>& errors) {
  const state::located_json document = state::ParseLocatedJson(text);
  errors = document.errors;
  scheduler_program_settings settings;
  if (document.value.is_discarded()) return settings;
  state::object_reader reader(document, document.value, "", errors);
  settings.server = common::ReadServerSettings(reader, document, errors);
  reader.Read("peers_for_leases", settings.peers_for_leases);
  if (const nlohmann::json* scheduler = reader.Member("scheduler"); scheduler != nullptr) {
    state::object_reader scheduler_reader(document, *scheduler, reader.PathOf("scheduler"), errors);
    ReadSchedulerSettings(scheduler_reader, settings.scheduler);
  }
  reader.Finish();
  DeriveSettings(settings);
  return settings;
}

}  // namespace hickorystall::programs::scheduler
