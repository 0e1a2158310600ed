#pragma once

#include <sys/types.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace hickorystall::harness {

/// A folder that is removed with its content at the end.
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

/// A program that runs as a child process. Signals go to its process id only; the destructor kills it.
class process {
 public:
  /// Starts `program` of the build folder with `arguments`. Standard output and error are appended to
  /// `log_path`. Throws std::runtime_error when the program cannot be started.
  process(const std::string& program, const std::vector<std::string>& arguments,
          std::filesystem::path log_path);
  ~process();
  process(const process&) = delete;
  process& operator=(const process&) = delete;

  /// Sends `number`, such as SIGTERM, unless the process has ended.
  void Signal(int number);
  /// Waits until the process has ended. Returns its exit status, 128 plus the signal number when a signal
  /// ended it, or nothing after `timeout`.
  std::optional<int> Wait(std::chrono::milliseconds timeout);
  /// True until the process has ended.
  bool IsRunning();
  /// Sends SIGKILL and waits for the end.
  void Kill();

  pid_t pid() const { return pid_; }
  /// What the program has printed so far.
  std::string Log() const;

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_status_;
  std::filesystem::path log_path_;
};

/// Returns a TCP port on 127.0.0.1 that was free a moment ago. No port is returned twice in one process.
int FreePort();

/// Waits until a connection to `port` on 127.0.0.1 is accepted; false after `timeout`.
bool WaitForPort(int port, std::chrono::milliseconds timeout);

/// Calls `condition` every 10 ms until it returns true; false after `timeout`.
template <typename F>
bool WaitUntil(F condition, std::chrono::milliseconds timeout);

/// Sleeps between two checks of WaitUntil.
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
