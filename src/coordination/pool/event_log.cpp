#include "coordination/pool/event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "state/metrics/request_metrics.h"

namespace hickorystall::coordination::pool {
namespace {

// Records that wait for the writer. At 200 bytes each they take under half a megabyte.
constexpr std::size_t kQueueLength = 2048;

}  // namespace

event_log::event_log(std::string instance) : instance_(std::move(instance)) {
  spdlog::init_thread_pool(kQueueLength, 1);
  logger_ = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("events-" + instance_);
  logger_->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %v", spdlog::pattern_time_type::utc);
  logger_->flush_on(spdlog::level::info);
}

event_log::~event_log() { spdlog::shutdown(); }

void event_log::Write(std::string_view part, std::string_view event, const log_fields& fields) {
  ++counters_[{std::string(part), std::string(event)}];
  std::string line(part);
  line += ": ";
  line += event;
  for (const auto& [name, value] : fields) {
    line += ' ';
    line += name;
    line += '=';
    const bool quoted = value.find(' ') != std::string::npos;
    if (quoted) line += '"';
    line += value;
    if (quoted) line += '"';
  }
  line += " vm=";
  line += instance_;
  logger_->info(line);
}

std::string event_log::CountersToText() const {
  std::string text = "# TYPE hickorystall_events_total counter\n";
  for (const auto& [name, count] : counters_) {
    text += "hickorystall_events_total{part=\"" + state::EscapeLabel(name.first) + "\",event=\"" +
            state::EscapeLabel(name.second) + "\"} " + std::to_string(count) + "\n";
  }
  text += "# TYPE hickorystall_log_records_dropped_total counter\n";
  return text + "hickorystall_log_records_dropped_total " + std::to_string(dropped()) + "\n";
}

std::uint64_t event_log::dropped() const { return spdlog::thread_pool()->overrun_counter(); }

}  // namespace hickorystall::coordination::pool
