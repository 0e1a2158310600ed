#include "coordination/pool/event_log.h"

#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "state/metrics/request_metrics.h"

namespace hickorystall::coordination::pool {
namespace {

// Capacity of the queue to the writer thread. At 200 bytes each, the records take under half a megabyte.
constexpr std::size_t kQueueLength = 2048;

// Minimum time between two flushes by Write. A flush takes a system call, and a busy owner writes several
// hundred records a second.
constexpr std::chrono::milliseconds kFlushInterval{100};

// Maximum length of a field's value. Clients may send long texts, and one record must not displace others.
constexpr std::size_t kMaxValueLength = 400;

// Appends `value`. Unless it is a single word, it is put in quotes, with quotes, backslashes and control
// characters escaped.
void AppendValue(std::string& line, std::string_view value) {
  const bool is_cut = value.size() > kMaxValueLength;
  value = value.substr(0, kMaxValueLength);
  const bool is_word = !value.empty() && std::all_of(value.begin(), value.end(), [](unsigned char c) {
    return c > ' ' && c != '"' && c != '\\' && c != 0x7f;
  });
  if (!is_word) line += '"';
  for (const char c : value) {
    if (static_cast<unsigned char>(c) < ' ') {
      line += c == '\n' ? "\\n" : "?";
      continue;
    }
    if (c == '"' || c == '\\') line += '\\';
    line += c;
  }
  if (is_cut) line += "...";
  if (!is_word) line += '"';
}

}  // namespace

event_log::event_log(std::string instance)
    : instance_(std::move(instance)),
      writer_(std::make_shared<spdlog::details::thread_pool>(kQueueLength, 1)),
      logger_(std::make_shared<spdlog::async_logger>(
          "events-" + instance_, std::make_shared<spdlog::sinks::stdout_sink_mt>(), writer_,
          spdlog::async_overflow_policy::overrun_oldest)) {
  logger_->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %v", spdlog::pattern_time_type::utc);
}

event_log::~event_log() = default;

void event_log::Write(std::string_view part, std::string_view event, const log_fields& fields) {
  ++counters_[{std::string(part), std::string(event)}];
  std::string line(part);
  line += ": ";
  line += event;
  for (const auto& [name, value] : fields) {
    line += ' ';
    line += name;
    line += '=';
    AppendValue(line, value);
  }
  line += " vm=";
  line += instance_;
  logger_->info(line);
  has_unflushed_ = true;
  const auto now = std::chrono::steady_clock::now();
  if (now - flushed_at_ < kFlushInterval) return;
  flushed_at_ = now;
  Flush();
}

void event_log::Flush() {
  if (!has_unflushed_) return;
  has_unflushed_ = false;
  logger_->flush();
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

std::uint64_t event_log::dropped() const { return writer_->overrun_counter(); }

}  // namespace hickorystall::coordination::pool
