// A stub upstream: answers any path with a small JSON body and announces itself to its daemon.

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/logging.h"
#include "cornelweir/loop.h"

namespace cornelweir::upstream {
namespace {

namespace program_options = boost::program_options;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kAnnouncementInterval = seconds(1);
constexpr auto kAnnouncementTimeout = seconds(1);
// Daemons stop sending within a few seconds of a draining announcement; ending earlier would
// interrupt requests that were already on their way.
constexpr auto kDrainTime = seconds(3);
constexpr int kCrashStatus = 70;

struct options {
  std::string listen;
  std::string daemon;
  std::string service;
  std::string subset;
  std::string id;
  std::string crash_on;
  std::string record;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  std::int64_t latency_ms = 0;
  std::int64_t cold_start_ms = 0;
  double fail_rate = 0;
  std::uint64_t seed = 0;
};

enum class upstream_state : std::uint8_t { kStarting, kReady, kDraining };

std::string_view StateName(upstream_state state) {
  switch (state) {
    case upstream_state::kStarting:
      return "starting";
    case upstream_state::kReady:
      return "ready";
    case upstream_state::kDraining:
      return "draining";
  }
  return "unknown";
}

// Appends one line per request that was run, so that runs can be counted by key after a crash.
class run_record {
 public:
  explicit run_record(const std::string& path) {
    if (path.empty()) return;
    descriptor_ = open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  }
  run_record(const run_record&) = delete;
  run_record& operator=(const run_record&) = delete;
  ~run_record() {
    if (descriptor_ >= 0) close(descriptor_);
  }

  bool usable() const { return descriptor_ >= 0; }

  // One write per line: lines of several processes do not mix in a file opened for appending.
  void Append(std::string_view key, std::string_view path) const {
    if (descriptor_ < 0) return;
    const std::string line = std::string(key.empty() ? "-" : key) + " " + std::string(path) + "\n";
    if (write(descriptor_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
      std::cerr << "cornelweir-upstream: cannot write the record file\n";
    }
  }

 private:
  int descriptor_ = -1;
};

class stub_upstream {
 public:
  stub_upstream(loop::event_loop& loop, options settings)
      : loop_(loop),
        settings_(std::move(settings)),
        record_(settings_.record),
        random_(settings_.seed),
        server_(loop, ServerLimits(settings_)),
        client_(loop),
        announcement_timer_(loop),
        phase_timer_(loop) {}

  bool Start() {
    for (const auto method :
         {http::method::get, http::method::head, http::method::post, http::method::put,
          http::method::patch, http::method::delete_, http::method::options}) {
      server_.Handle(method, "/",
                     [this](const http::admin_request& request, http::admin_reply reply) {
                       Run(request, std::move(reply));
                     });
    }
    server_.Handle(http::method::get, "/health",
                   [this](const http::admin_request&, http::admin_reply reply) {
                     reply({200, "application/json", Health()});
                   });
    if (!settings_.record.empty() && !record_.usable()) return false;
    if (!server_.Listen(kernel::endpoint(settings_.listen))) return false;
    std::cout << "listening on " << server_.local_endpoint().value() << std::endl;
    if (settings_.cold_start_ms > 0) {
      phase_timer_.Start(milliseconds(settings_.cold_start_ms),
                         [this] { Enter(upstream_state::kReady); });
      Announce();
    } else {
      Enter(upstream_state::kReady);
    }
    announcement_timer_.StartPeriodic(kAnnouncementInterval, [this] { Announce(); });
    return true;
  }

  void BeginShutdown() {
    if (state_ == upstream_state::kDraining) return;
    Enter(upstream_state::kDraining);
    phase_timer_.Start(kDrainTime, [this] {
      announcement_timer_.Cancel();
      server_.BeginDrain([this] { loop_.Stop(); });
    });
  }

 private:
  static http::admin_limits ServerLimits(const options& settings) {
    http::admin_limits limits;
    limits.connections = static_cast<std::size_t>(settings.connections);
    limits.body_bytes = std::size_t{64} << 20;
    return limits;
  }

  void Enter(upstream_state state) {
    state_ = state;
    Announce();
  }

  std::string Health() const {
    return nlohmann::json{{"state", std::string(StateName(state_))},
                          {"in_progress", in_progress_},
                          {"peak_in_progress", peak_in_progress_},
                          {"run", run_},
                          {"shed", shed_}}
        .dump();
  }

  void Announce() {
    if (settings_.daemon.empty()) return;
    const nlohmann::json announcement{{"id", settings_.id},
                                      {"service", settings_.service},
                                      {"subset", settings_.subset},
                                      {"endpoint", server_.local_endpoint().value()},
                                      {"slots", settings_.slots},
                                      {"connections", settings_.connections},
                                      {"state", std::string(StateName(state_))},
                                      {"started_at_ms", started_at_ms_}};
    client_.Request(kernel::endpoint(settings_.daemon), http::method::put, "/v1/announcement",
                    announcement.dump(), kAnnouncementTimeout,
                    [](const http::http_result<http::client_response>&) {
                      // The next announcement follows within a second.
                    });
  }

  void Run(const http::admin_request& request, http::admin_reply reply) {
    if (state_ == upstream_state::kStarting || in_progress_ >= settings_.slots) {
      ++shed_;
      return reply(Answer(503, request));
    }
    ++run_;
    record_.Append(request.Header("idempotency-key"), request.target);
    if (!settings_.crash_on.empty() &&
        request.target.find(settings_.crash_on) != std::string::npos) {
      _exit(kCrashStatus);
    }
    ++in_progress_;
    peak_in_progress_ = std::max(peak_in_progress_, in_progress_);
    const int status = Fails() ? 500 : 200;
    if (settings_.latency_ms == 0) return Complete(Answer(status, request), std::move(reply));
    auto wait = std::make_shared<pending>(
        pending{loop::timer(loop_), Answer(status, request), std::move(reply)});
    wait->timer.Start(milliseconds(settings_.latency_ms),
                      [this, wait] { Complete(std::move(wait->answer), std::move(wait->reply)); });
  }

  struct pending {
    loop::timer timer;
    http::admin_response answer;
    http::admin_reply reply;
  };

  void Complete(http::admin_response answer, http::admin_reply reply) {
    --in_progress_;
    reply(std::move(answer));
  }

  bool Fails() {
    constexpr std::uint64_t kScale = 1'000'000;
    return static_cast<double>(kernel::UniformBelow(random_, kScale)) <
           settings_.fail_rate * static_cast<double>(kScale);
  }

  http::admin_response Answer(int status, const http::admin_request& request) const {
    const std::string id(request.Header("x-request-id"));
    http::admin_response answer;
    answer.status = status;
    answer.body = nlohmann::json{{"service", settings_.service},
                                 {"subset", settings_.subset},
                                 {"id", settings_.id},
                                 {"path", request.target},
                                 {"request_id", id},
                                 {"body_bytes", request.body.size()}}
                      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (!id.empty()) answer.headers.set("x-request-id", id);
    return answer;
  }

  loop::event_loop& loop_;
  options settings_;
  run_record record_;
  kernel::seeded_random random_;
  http::admin_server server_;
  http::admin_client client_;
  // Tells the daemon this process from its predecessor.
  const std::int64_t started_at_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count();
  loop::timer announcement_timer_;
  loop::timer phase_timer_;
  upstream_state state_ = upstream_state::kStarting;
  std::int64_t in_progress_ = 0;
  std::int64_t peak_in_progress_ = 0;
  std::int64_t run_ = 0;
  std::int64_t shed_ = 0;
};

std::optional<options> ReadOptions(int argc, char** argv) {
  options settings;
  program_options::options_description description("cornelweir-upstream");
  const auto text = [](std::string& member, const char* standard) {
    return program_options::value(&member)->default_value(standard);
  };
  const auto number = [](std::int64_t& member, std::int64_t standard) {
    return program_options::value(&member)->default_value(standard);
  };
  auto add = description.add_options();
  add("help", "show the options");
  add("listen", text(settings.listen, "127.0.0.1:0"), "address to serve requests on");
  add("daemon", text(settings.daemon, ""), "administration address of the daemon beside it");
  add("service", text(settings.service, "service"), "name of the service");
  add("subset", text(settings.subset, "default"), "name of the subset");
  add("id", text(settings.id, "upstream"), "id of this upstream");
  add("slots", number(settings.slots, 20), "requests that it holds at a time; more are shed");
  add("connections", number(settings.connections, 100), "connections that it accepts");
  add("latency-ms", number(settings.latency_ms, 0), "time to answer a request");
  add("fail-rate", program_options::value(&settings.fail_rate)->default_value(0),
      "share of requests that are answered 500");
  add("crash-on", text(settings.crash_on, ""), "exit with 70 at a request whose path contains it");
  add("record", text(settings.record, ""), "file that gets one line per request that was run");
  add("cold-start-ms", number(settings.cold_start_ms, 0), "time in state starting");
  add("seed", program_options::value(&settings.seed)->default_value(1), "seed of the failures");
  try {
    program_options::variables_map values;
    program_options::store(program_options::parse_command_line(argc, argv, description), values);
    program_options::notify(values);
    if (!values.contains("help")) return settings;
    std::cout << description;
  } catch (const program_options::error& error) {
    std::cerr << "cornelweir-upstream: " << error.what() << "\n";
  }
  return std::nullopt;
}

int Main(int argc, char** argv) {
  const auto settings = ReadOptions(argc, argv);
  if (!settings) return EXIT_FAILURE;
  loop::event_loop loop;
  stub_upstream upstream(loop, *settings);
  if (!upstream.Start()) {
    std::cerr << "cornelweir-upstream: cannot listen on " << settings->listen
              << " or open the record file\n";
    return EXIT_FAILURE;
  }
  loop.OnSignal([&](loop::process_signal signal) {
    if (signal != loop::process_signal::kHangUp) upstream.BeginShutdown();
  });
  loop.Run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace cornelweir::upstream

int main(int argc, char** argv) {
  try {
    return cornelweir::upstream::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "cornelweir-upstream: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
