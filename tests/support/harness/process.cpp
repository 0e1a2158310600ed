#include "tests/support/harness/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace hickorystall::harness {

namespace {

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A TCP socket that the destructor closes.
struct scoped_socket {
  scoped_socket() : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {}
  ~scoped_socket() { ::close(fd); }
  scoped_socket(const scoped_socket&) = delete;
  scoped_socket& operator=(const scoped_socket&) = delete;
  int fd;
};

// Converts a status of waitpid to an exit status as shells report it.
int ExitStatus(int wait_status) {
  return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : 128 + WTERMSIG(wait_status);
}

}  // namespace

temporary_folder::temporary_folder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "hickorystall-test-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
  path_ = pattern;
}

temporary_folder::~temporary_folder() {
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

process::process(const std::string& program, const std::vector<std::string>& arguments,
                 std::filesystem::path log_path)
    : log_path_(std::move(log_path)) {
  const std::string path = (std::filesystem::path(HICKORYSTALL_BINARY_DIR) / program).string();
  std::vector<std::string> argument_strings{path};
  argument_strings.insert(argument_strings.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(argument_strings.size() + 1);
  for (std::string& argument : argument_strings) argv.push_back(argument.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, 1, log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::posix_spawn_file_actions_adddup2(&actions, 1, 2);
  const int error = ::posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + path);
}

process::~process() { Kill(); }

void process::Signal(int number) {
  if (IsRunning()) ::kill(pid_, number);
}

bool process::IsRunning() {
  if (exit_status_) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
  exit_status_ = ExitStatus(status);
  return false;
}

std::optional<int> process::Wait(std::chrono::milliseconds timeout) {
  WaitUntil([this] { return !IsRunning(); }, timeout);
  return exit_status_;
}

void process::Kill() {
  if (!IsRunning()) return;
  ::kill(pid_, SIGKILL);
  int status = 0;
  if (::waitpid(pid_, &status, 0) == pid_) exit_status_ = ExitStatus(status);
}

std::string process::Log() const {
  std::ifstream file(log_path_);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int FreePort() {
  // Below the default range of ephemeral ports, so that no outgoing connection is given the port before the
  // caller binds it.
  constexpr int kFirst = 10000;
  constexpr int kCount = 22000;
  // Derived from the process id, so that test processes that run at the same time start searching far apart.
  static int offset = static_cast<int>((static_cast<std::int64_t>(::getpid()) * 7919) % kCount);
  for (int attempt = 0; attempt < kCount; ++attempt) {
    offset = (offset + 1) % kCount;
    const sockaddr_in address = LoopbackAddress(kFirst + offset);
    const scoped_socket probe;
    if (::bind(probe.fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
      return kFirst + offset;
    }
  }
  throw std::runtime_error("no free port");
}

bool WaitForPort(int port, std::chrono::milliseconds timeout) {
  const sockaddr_in address = LoopbackAddress(port);
  return WaitUntil(
      [&] {
        const scoped_socket probe;
        return ::connect(probe.fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
      },
      timeout);
}

void PauseBetweenChecks() { std::this_thread::sleep_for(std::chrono::milliseconds(10)); }

}  // namespace hickorystall::harness
