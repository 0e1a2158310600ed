#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace hickorystall::harness {

/// A new folder in the system's folder for temporary files. The destructor removes it with its contents.
class temporary_folder {
 public:
  temporary_folder();
  ~temporary_folder();
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

/// A program of the build folder that runs as a child process. Signals are sent to its process id only, not
/// to its process group. The destructor sends SIGKILL and waits for the end.
class process {
 public:
  /// Starts `program`, a file name in the build folder, with `arguments`. Standard output and standard error
  /// are appended to `log_path`. Throws std::runtime_error when the program cannot be started.
  process(const std::string& program, const std::vector<std::string>& arguments,
          std::filesystem::path log_path);
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  /// Sends signal `number`, such as SIGTERM, unless the process has ended.
  void Signal(int number);
  /// Waits until the process has ended. Returns its exit status, or 128 plus the signal number when a signal
  /// ended it; nothing when it still runs after `timeout`.
  std::optional<int> Wait(std::chrono::milliseconds timeout);
  /// Returns whether the process still runs, and reaps it once it has ended.
  bool IsRunning();
  /// Sends SIGKILL and waits until the process has ended. Does nothing when it has ended already.
  void Kill();

  pid_t pid() const { return pid_; }
  /// Returns the content of the log file.
  std::string Log() const;

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_status_;
  std::filesystem::path log_path_;
};

/// Returns a TCP port on 127.0.0.1 that was free during the call; another process may bind it afterwards. A
/// port is returned again only after all others of the range have been tried. Throws std::runtime_error when
/// none is free.
int FreePort();

/// Waits until a connection to `port` on 127.0.0.1 is accepted. Returns false after `timeout`.
bool WaitForPort(int port, std::chrono::milliseconds timeout);

/// Calls `condition` every 10 ms until it returns true. Returns false after `timeout`; `condition` is called
/// at least once.
template <typename F>
bool WaitUntil(F condition, std::chrono::milliseconds timeout);

/// Sleeps for 10 ms, the interval at which WaitUntil checks its condition.
void PauseBetweenChecks();

template <typename F>
bool WaitUntil(F condition, std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    PauseBetweenChecks();
  }
  return true;
}

}  // namespace hickorystall::harness
