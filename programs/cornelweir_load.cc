// Sends requests to daemons at a constant rate and checks that each answer is whole and belongs to
// its request.

#include <algorithm>
#include <boost/histogram.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"

namespace cornelweir::load {
namespace {

namespace histogram = boost::histogram;
namespace program_options = boost::program_options;

constexpr std::uint64_t kScale = 1'000'000;

struct weighted_path {
  std::string path;
  std::uint64_t weight = 1;
};

struct options {
  std::vector<kernel::endpoint> targets;
  std::vector<weighted_path> paths;
  double rate = 0;
  double duration_s = 0;
  std::uint64_t workspaces = 0;
  double post_share = 0;
  int resend = 0;
  std::int64_t timeout_ms = 0;
  std::size_t in_flight = 0;
  std::size_t connections = 0;
  std::size_t body_bytes = 0;
  std::uint64_t seed = 0;
  std::string key_prefix;
  std::string report_key_file;
};

enum class run_state : std::uint8_t { kNotRun, kRan, kUnknown };

std::string_view RunStateName(run_state state) {
  switch (state) {
    case run_state::kNotRun:
      return "not-run";
    case run_state::kRan:
      return "ran";
    case run_state::kUnknown:
      return "unknown";
  }
  return "unknown";
}

// A request from the moment it is due until its last attempt is answered.
struct pending_request {
  std::uint64_t number = 0;
  std::string path;
  std::string workspace;
  bool post = false;
  std::size_t target = 0;
  int attempt = 0;
  kernel::time_point due;
  run_state state = run_state::kNotRun;
};

// Latencies in milliseconds; the logarithmic bins are about 1% wide.
class latency_histogram {
 public:
  void Add(kernel::microseconds latency) {
    bins_(std::max(static_cast<double>(latency.count()) / 1000.0, kLowest));
  }

  double Percentile(double percent) const {
    const double total = histogram::algorithm::sum(bins_);
    double seen = 0;
    for (const auto& bin : histogram::indexed(bins_)) {
      seen += static_cast<double>(*bin);
      if (total > 0 && seen >= total * percent / 100.0) return bin.bin().upper();
    }
    return 0;
  }

 private:
  static constexpr double kLowest = 0.01;
  static constexpr double kHighest = 100'000;

  using axis = histogram::axis::regular<double, histogram::axis::transform::log>;
  decltype(histogram::make_histogram(std::declval<axis>())) bins_ =
      histogram::make_histogram(axis(1600, kLowest, kHighest, "ms"));
};

class generator {
 public:
  generator(loop::event_loop& loop, options settings)
      : loop_(loop),
        settings_(std::move(settings)),
        random_(settings_.seed),
        client_(loop, PoolLimits(settings_)),
        timer_(loop) {
    for (const weighted_path& each : settings_.paths) total_weight_ += each.weight;
  }

  void Start() {
    started_at_ = clock_.Now();
    SendDue();
  }

  nlohmann::json Report() const {
    const double seconds =
        std::chrono::duration<double>(std::max(ended_at_ - started_at_, kernel::microseconds(1)))
            .count();
    return {{"seed", settings_.seed},
            {"sent", sent_},
            {"answered", answered_},
            {"lost", lost_},
            {"resent", resent_},
            {"skipped", skipped_},
            {"mixed", mixed_},
            {"cut", cut_},
            {"seconds", seconds},
            {"answered_per_second", static_cast<double>(answered_) / seconds},
            {"status", statuses_},
            {"outcome", outcomes_},
            {"error", errors_},
            {"latency_ms",
             {{"p50", latencies_.Percentile(50)},
              {"p90", latencies_.Percentile(90)},
              {"p99", latencies_.Percentile(99)},
              {"p99.9", latencies_.Percentile(99.9)},
              {"max", latencies_.Percentile(100)}}}};
  }

  bool all_answers_sound() const { return mixed_ == 0 && cut_ == 0; }

  bool WriteKeys(const std::string& path) const {
    std::ofstream file(path);
    for (const auto& [number, state] : keys_) {
      file << KeyOf(number) << ' ' << RunStateName(state) << '\n';
    }
    return file.flush().good();
  }

 private:
  static http::pool_limits PoolLimits(const options& settings) {
    http::pool_limits limits;
    limits.connections = settings.connections;
    limits.waiters = settings.in_flight;
    return limits;
  }

  std::string KeyOf(std::uint64_t number) const {
    return settings_.key_prefix + "-" + std::to_string(number);
  }

  bool Chance(double share) {
    return static_cast<double>(kernel::UniformBelow(random_, kScale)) <
           share * static_cast<double>(kScale);
  }

  const std::string& ChoosePath() {
    std::uint64_t at = kernel::UniformBelow(random_, total_weight_);
    for (const weighted_path& each : settings_.paths) {
      if (at < each.weight) return each.path;
      at -= each.weight;
    }
    return settings_.paths.back().path;
  }

  void SendDue() {
    const auto elapsed = clock_.Now() - started_at_;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    if (seconds >= settings_.duration_s) {
      timer_.Cancel();
      ended_ = true;
      return StopWhenIdle();
    }
    if (settings_.rate == 0) {
      while (in_flight_ < settings_.in_flight) Begin(clock_.Now());
      // Answers start the following requests; the timer only ends the run.
      if (!timer_.running()) SendAgainAt(started_at_ + Seconds(settings_.duration_s));
      return;
    }
    const auto due = static_cast<std::uint64_t>(seconds * settings_.rate) + 1;
    for (; due_ < due; ++due_) {
      if (in_flight_ >= settings_.in_flight) {
        ++skipped_;
        continue;
      }
      // Latency counts from when the request was due, so that a stalled sender does not hide it.
      Begin(DueTime(due_));
    }
    SendAgainAt(DueTime(due_));
  }

  static kernel::microseconds Seconds(double seconds) {
    return std::chrono::ceil<kernel::microseconds>(std::chrono::duration<double>(seconds));
  }

  kernel::time_point DueTime(std::uint64_t index) const {
    return started_at_ + Seconds(static_cast<double>(index) / settings_.rate);
  }

  void SendAgainAt(kernel::time_point when) {
    const auto delay = std::max(when - clock_.Now(), kernel::microseconds(1));
    timer_.Start(delay, [this] { SendDue(); });
  }

  void Begin(kernel::time_point due) {
    auto request = std::make_shared<pending_request>();
    request->number = ++numbers_;
    request->path = ChoosePath();
    request->workspace =
        "tenant-" + std::to_string(kernel::UniformBelow(random_, settings_.workspaces));
    request->post = Chance(settings_.post_share);
    request->target = kernel::UniformBelow(random_, settings_.targets.size());
    request->due = due;
    ++in_flight_;
    Send(request);
  }

  void Send(const std::shared_ptr<pending_request>& request) {
    ++sent_;
    http::client_request message;
    message.target = request->path;
    message.headers.set("x-tenant", request->workspace);
    message.headers.set("x-request-id", IdOf(*request, request->attempt));
    if (request->post) {
      message.method = http::method::post;
      message.headers.set("idempotency-key", KeyOf(request->number));
      message.body = std::string(settings_.body_bytes, 'x');
    }
    client_.Send(settings_.targets[request->target], std::move(message),
                 std::chrono::milliseconds(settings_.timeout_ms),
                 [this, request](const http::http_result<http::client_response>& answer) {
                   OnAnswer(request, answer);
                 });
  }

  std::string IdOf(const pending_request& request, int attempt) const {
    return KeyOf(request.number) + "." + std::to_string(attempt);
  }

  void OnAnswer(const std::shared_ptr<pending_request>& request,
                const http::http_result<http::client_response>& answer) {
    if (answer) {
      ++answered_;
      Check(*request, answer.value());
      latencies_.Add(clock_.Now() - request->due);
      return End(*request);
    }
    ++lost_;
    ++errors_[std::string(http::FaultName(answer.error().fault))];
    if (answer.error().sent) request->state = run_state::kUnknown;
    if (request->attempt >= settings_.resend) return End(*request);
    ++request->attempt;
    ++resent_;
    request->target = (request->target + 1) % settings_.targets.size();
    Send(request);
  }

  void Check(pending_request& request, const http::client_response& response) {
    ++statuses_[std::to_string(response.status)];
    std::string outcome(http::HeaderValue(response.headers, "x-cornelweir-outcome"));
    if (outcome.empty()) outcome = "none";
    ++outcomes_[outcome];
    const bool from_upstream = outcome == "ran" || (outcome == "none" && response.status < 300);
    if (from_upstream) {
      request.state = run_state::kRan;
    } else if (outcome != "not-run") {
      request.state = run_state::kUnknown;
    }
    const std::string_view id = http::HeaderValue(response.headers, "x-request-id");
    if (!id.empty() || from_upstream) CheckEcho(request, id, response.body);
  }

  // The answer to a resent request may be the stored one of an earlier attempt.
  bool IsIdOf(const pending_request& request, std::string_view id) const {
    for (int attempt = 0; attempt <= request.attempt; ++attempt) {
      if (id == IdOf(request, attempt)) return true;
    }
    return false;
  }

  void CheckEcho(const pending_request& request, std::string_view id, const std::string& body) {
    if (!IsIdOf(request, id)) {
      ++mixed_;
      return;
    }
    const auto echo = nlohmann::json::parse(body, nullptr, false);
    if (!echo.is_object()) {
      ++cut_;
    } else if (echo.value("request_id", "") != id || echo.value("path", "") != request.path) {
      ++mixed_;
    }
  }

  void End(const pending_request& request) {
    if (request.post) keys_[request.number] = request.state;
    --in_flight_;
    if (ended_) return StopWhenIdle();
    if (settings_.rate == 0) SendDue();
  }

  void StopWhenIdle() {
    if (in_flight_ > 0) return;
    ended_at_ = clock_.Now();
    loop_.Stop();
  }

  loop::event_loop& loop_;
  options settings_;
  kernel::steady_clock_source clock_;
  kernel::seeded_random random_;
  http::client client_;
  loop::timer timer_;
  std::uint64_t total_weight_ = 0;
  kernel::time_point started_at_;
  kernel::time_point ended_at_;
  bool ended_ = false;
  std::uint64_t due_ = 0;
  std::uint64_t numbers_ = 0;
  std::size_t in_flight_ = 0;

  std::uint64_t sent_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t lost_ = 0;
  std::uint64_t resent_ = 0;
  std::uint64_t skipped_ = 0;
  std::uint64_t mixed_ = 0;
  std::uint64_t cut_ = 0;
  std::map<std::string, std::uint64_t> statuses_;
  std::map<std::string, std::uint64_t> outcomes_;
  std::map<std::string, std::uint64_t> errors_;
  std::map<std::uint64_t, run_state> keys_;
  latency_histogram latencies_;
};

// Reads "/path" or "/path=weight".
std::optional<weighted_path> ReadPath(const std::string& text) {
  const std::size_t equals = text.rfind('=');
  weighted_path read{text.substr(0, equals), 1};
  if (equals != std::string::npos) {
    std::istringstream digits(text.substr(equals + 1));
    if (!(digits >> read.weight) || !digits.eof() || read.weight == 0) return std::nullopt;
  }
  if (!read.path.starts_with('/')) return std::nullopt;
  return read;
}

std::optional<options> ReadOptions(int argc, char** argv) {
  options settings;
  std::string targets;
  std::vector<std::string> paths;
  program_options::options_description description("cornelweir-load");
  const auto with = [](auto& member, auto standard) {
    return program_options::value(&member)->default_value(standard);
  };
  auto add = description.add_options();
  add("help", "show the options");
  add("target", program_options::value(&targets)->required(), "daemons, separated by commas");
  add("path", program_options::value(&paths)->required(), "PATH or PATH=WEIGHT; may be repeated");
  add("rate", with(settings.rate, 100.0), "requests per second; 0 keeps in-flight requests busy");
  add("duration-s", with(settings.duration_s, 10.0), "time to send for");
  add("tenants", with(settings.workspaces, std::uint64_t{1}), "number of workspaces");
  add("post-share", with(settings.post_share, 0.0), "share of requests that must not run twice");
  add("body-bytes", with(settings.body_bytes, std::size_t{64}), "size of the body of these");
  add("resend", with(settings.resend, 0), "attempts after a lost answer, each at another daemon");
  add("timeout-ms", with(settings.timeout_ms, std::int64_t{5000}), "time for one attempt");
  add("in-flight", with(settings.in_flight, std::size_t{1000}), "requests in progress at most");
  add("connections", with(settings.connections, std::size_t{100}), "connections to each daemon");
  add("seed", with(settings.seed, std::uint64_t{1}), "seed of all random choices");
  add("key-prefix", program_options::value(&settings.key_prefix),
      "start of keys and request ids; by default derived from the seed");
  add("report-key-file", program_options::value(&settings.report_key_file),
      "file that gets a line 'key ran|not-run|unknown' for each request that must not run twice");
  try {
    program_options::variables_map values;
    program_options::store(program_options::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
      std::cout << description;
      return std::nullopt;
    }
    program_options::notify(values);
  } catch (const program_options::error& error) {
    std::cerr << "cornelweir-load: " << error.what() << "\n";
    return std::nullopt;
  }
  std::istringstream list(targets);
  for (std::string target; std::getline(list, target, ',');) settings.targets.emplace_back(target);
  for (const std::string& text : paths) {
    const auto path = ReadPath(text);
    if (!path) {
      std::cerr << "cornelweir-load: bad path '" << text << "'\n";
      return std::nullopt;
    }
    settings.paths.push_back(*path);
  }
  if (settings.targets.empty() || settings.in_flight == 0) {
    std::cerr << "cornelweir-load: at least one target and one request in flight are needed\n";
    return std::nullopt;
  }
  settings.workspaces = std::max<std::uint64_t>(settings.workspaces, 1);
  if (settings.key_prefix.empty()) settings.key_prefix = "s" + std::to_string(settings.seed);
  return settings;
}

int Main(int argc, char** argv) {
  const auto settings = ReadOptions(argc, argv);
  if (!settings) return EXIT_FAILURE;
  loop::event_loop loop;
  generator source(loop, *settings);
  source.Start();
  loop.Run();
  std::cout << source.Report().dump() << std::endl;
  if (!settings->report_key_file.empty() && !source.WriteKeys(settings->report_key_file)) {
    std::cerr << "cornelweir-load: cannot write " << settings->report_key_file << "\n";
    return EXIT_FAILURE;
  }
  return source.all_answers_sound() ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace cornelweir::load

int main(int argc, char** argv) {
  try {
    return cornelweir::load::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "cornelweir-load: " << error.what() << "\n";
    return EXIT_FAILURE;
  }
}
