// Tests that the process ends after SIGTERM, whatever its connections are doing.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace cornelweir {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

// No event is later than this unless the process hangs.
constexpr milliseconds kHangTimeout{30'000};

// A port that was free a moment ago.
std::string FreePort(boost::asio::io_context& context) {
  const tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
  return std::to_string(acceptor.local_endpoint().port());
}

// NOLINTNEXTLINE(readability-identifier-naming)
class DaemonExitTest : public ::testing::Test {
 protected:
  DaemonExitTest() {
    std::string pattern = testing::TempDir() + "daemon-exit-XXXXXX";
    folder_ = ::mkdtemp(pattern.data());
  }
  ~DaemonExitTest() override {
    if (process_ > 0) {
      ::kill(process_, SIGKILL);
      ::waitpid(process_, nullptr, 0);
    }
    if (output_ >= 0) ::close(output_);
    std::filesystem::remove_all(folder_);
  }

  // Starts the daemon and waits until it has started. The settings follow the common keys.
  void Start(const std::string& plugins, const std::string& section) {
    const std::string file = folder_ + "/settings.json";
    std::ofstream(file) << R"({"host": "h1", "failure_domain": "a", "region": "r",
      "admin_listen": "127.0.0.1:0", "trusted_network": true, "plugins": [)"
                        << plugins << "], " << section << "}";
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe2(ends.data(), O_CLOEXEC), 0);
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
    std::string program = CORNELWEIR_DAEMON;
    std::string argument = file;
    std::array<char*, 3> arguments{program.data(), argument.data(), nullptr};
    ASSERT_EQ(
        ::posix_spawn(&process_, program.c_str(), &actions, nullptr, arguments.data(), ::environ),
        0);
    ::posix_spawn_file_actions_destroy(&actions);
    ::close(ends[1]);
    output_ = ends[0];
    ASSERT_TRUE(ReadUntil("process started"));
  }

  void StartControl(std::int64_t shutdown_ms) {
    const std::string mesh = FreePort(context_);
    operators_port_ = FreePort(context_);
    std::string section = R"("control": {"tolerated_losses": 0, "bootstrap": true, )";
    section += R"("data_folder": ")" + folder_ + R"(/data", )";
    section += R"("mesh_listen": "127.0.0.1:)" + mesh + R"(", )";
    section += R"("seeds": ["127.0.0.1:)" + mesh + R"("], )";
    section += R"("policy_listen": "127.0.0.1:)" + operators_port_ + R"(", )";
    section += R"("shutdown_ms": )" + std::to_string(shutdown_ms) + "}";
    Start(R"("control", "platform_operator", "metrics")", section);
  }

  // The port of the admin endpoint, as logged at the start.
  std::string AdminPort() const {
    constexpr std::string_view kField = "admin=127.0.0.1:";
    const std::size_t at = log_.find(kField) + kField.size();
    return std::to_string(std::stoi(log_.substr(at)));
  }

  void StartSidecar(std::int64_t shutdown_ms) {
    callers_port_ = FreePort(context_);
    peers_port_ = FreePort(context_);
    const std::string local = "127.0.0.1:";
    std::string section = R"("sidecar": {"service": "forms", "upstream": "127.0.0.1:1",
      "readiness_listen": "127.0.0.1:0", "announce_listen": "127.0.0.1:0",
      "seeds": ["127.0.0.1:1"], "control_port": 1, )";
    section += R"("callers_listen": ")" + local + callers_port_ + R"(", )";
    section += R"("peers_listen": ")" + local + peers_port_ + R"(", )";
    section += R"("shutdown_ms": )" + std::to_string(shutdown_ms) + "}";
    Start(R"("platform_sidecar", "metrics")", section);
  }

  // Reads the output until it contains the text. Returns false if it ends before.
  bool ReadUntil(std::string_view text) {
    while (log_.find(text) == std::string::npos) {
      if (!ReadSome()) return false;
    }
    return true;
  }

  bool ReadSome() {
    pollfd readable{output_, POLLIN, 0};
    if (::poll(&readable, 1, static_cast<int>(kHangTimeout.count())) <= 0) return false;
    std::array<char, 4096> bytes{};
    const ssize_t size = ::read(output_, bytes.data(), bytes.size());
    if (size <= 0) {
      output_ended_ = true;
      return false;
    }
    log_.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
  }

  // Waits for the end of the process and returns its exit status, or -1 if it hangs.
  int AwaitExit() {
    while (ReadSome()) {
    }
    return output_ended_ ? AwaitExitStatus() : -1;
  }

  // The same without the output: the process may have ended or be about to.
  int AwaitExitStatus() {
    const auto deadline = std::chrono::steady_clock::now() + kHangTimeout;
    int status = -1;
    pid_t ended = 0;
    while ((ended = ::waitpid(process_, &status, WNOHANG)) == 0 &&
           std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    if (ended != process_) return -1;
    process_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  // Opens a connection that sends the bytes, then nothing, and never reads.
  void Open(const std::string& port, std::string_view bytes) {
    connections_.emplace_back(context_);
    connections_.back().connect(
        {boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(std::stoi(port))});
    boost::asio::write(connections_.back(), boost::asio::buffer(bytes));
  }

  // The time limit of the shutdown in milliseconds, as logged.
  std::int64_t LoggedLimit() {
    constexpr std::string_view kField = "within_ms=";
    EXPECT_TRUE(ReadUntil(kField));
    const std::size_t at = log_.find(kField);
    if (at == std::string::npos) return -1;
    // The process may end right after this line.
    while (log_.find('\n', at) == std::string::npos && ReadSome()) {
    }
    EXPECT_NE(log_.find('\n', at), std::string::npos) << "the line is not complete";
    return std::stoll(log_.substr(at + kField.size()));
  }

  static constexpr std::string_view kIncompleteRequest =
      "PUT /config HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\nx";

  boost::asio::io_context context_;
  std::string folder_;
  std::string callers_port_;
  std::string peers_port_;
  std::string operators_port_;
  pid_t process_ = 0;
  int output_ = -1;
  std::string log_;
  bool output_ended_ = false;
  std::vector<tcp::socket> connections_;
};

// Guards against a control host that waits for the rest of an operator's request after its grace
// period.
TEST_F(DaemonExitTest, AControlHostDoesNotWaitForAnIncompleteRequest) {
  StartControl(700);
  Open(operators_port_, kIncompleteRequest);
  // Once this request is answered, the daemon has read the one before.
  Open(operators_port_, "GET /config HTTP/1.1\r\nHost: h\r\n\r\n");
  std::array<char, 1> response{};
  boost::asio::read(connections_.back(), boost::asio::buffer(response));
  ::kill(process_, SIGTERM);
  EXPECT_EQ(AwaitExit(), 0);
  EXPECT_NE(log_.find("cut_short=1"), std::string::npos) << log_;
}

// Guards against a sidecar that waits for callers or daemons whose connections stay open, or for
// control hosts that can't be reached.
TEST_F(DaemonExitTest, ASidecarDoesNotWaitForOpenConnections) {
  StartSidecar(1'500);
  for (const std::string_view bytes :
       {std::string_view(), std::string_view("GET /x HT"), kIncompleteRequest}) {
    Open(callers_port_, bytes);
    Open(peers_port_, bytes);
  }
  ::kill(process_, SIGTERM);
  EXPECT_EQ(AwaitExit(), 0);
}

// Guards against a process that counts its grace period from the end of a pause: the signal was
// sent during the pause.
TEST_F(DaemonExitTest, APauseCountsAgainstTheGracePeriod) {
  constexpr milliseconds kPause{1'000};
  constexpr std::int64_t kShutdownMs = 6'000;
  StartSidecar(kShutdownMs);
  ::kill(process_, SIGSTOP);
  ::kill(process_, SIGTERM);
  std::this_thread::sleep_for(kPause);
  ::kill(process_, SIGCONT);
  const std::int64_t limit = LoggedLimit();
  EXPECT_GT(limit, 0);
  EXPECT_LT(limit, kShutdownMs - kPause.count());
}

// Guards against an operator whose request was being read when the process stopped, and who gets no
// response: a control host without work in progress ends within milliseconds.
TEST_F(DaemonExitTest, AnswersAnOperatorWhoseRequestIsBeingRead) {
  StartControl(6'000);
  Open(AdminPort(), "GET /metrics HT");
  // Once this request is answered, the daemon has read the one before.
  Open(AdminPort(), "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
  std::array<char, 1> first_byte{};
  boost::asio::read(connections_.back(), boost::asio::buffer(first_byte));
  ::kill(process_, SIGTERM);
  ASSERT_TRUE(ReadUntil("graceful shutdown began"));
  boost::system::error_code error;
  boost::asio::write(connections_.front(), boost::asio::buffer("TP/1.1\r\nHost: h\r\n\r\n", 20),
                     error);
  std::string response;
  boost::asio::read(connections_.front(), boost::asio::dynamic_buffer(response), error);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response.substr(0, 100);
  EXPECT_EQ(AwaitExit(), 0);
}

// Guards against a process that SIGPIPE ends: a log collector that restarts closes the pipe that
// the daemon writes to.
TEST_F(DaemonExitTest, ServesAndEndsInOrderAfterItsLogPipeWasClosed) {
  StartControl(6'000);
  const std::string admin = AdminPort();
  ::close(output_);
  output_ = -1;
  // The first request is refused with an event in the log, the second must still be answered.
  Open(operators_port_, "PUT /config HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx");
  std::array<char, 1> first_byte{};
  boost::asio::read(connections_.back(), boost::asio::buffer(first_byte));
  Open(admin, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
  boost::asio::read(connections_.back(), boost::asio::buffer(first_byte));
  ::kill(process_, SIGTERM);
  EXPECT_EQ(AwaitExitStatus(), 0);
}

// Guards against a second signal that ends the process before its requests do. Platforms may send
// it again.
TEST_F(DaemonExitTest, ASecondSignalChangesNothing) {
  StartSidecar(1'500);
  Open(callers_port_, kIncompleteRequest);
  ::kill(process_, SIGTERM);
  ASSERT_TRUE(ReadUntil("graceful shutdown began"));
  ::kill(process_, SIGTERM);
  EXPECT_EQ(AwaitExit(), 0);
  EXPECT_NE(log_.find("stop requested again"), std::string::npos);
  EXPECT_NE(log_.find("cut_short="), std::string::npos) << "the process did not end in order";
}

}  // namespace
}  // namespace cornelweir
