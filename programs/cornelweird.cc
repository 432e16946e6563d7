#include <malloc.h>

#include <algorithm>
#include <boost/leaf.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/logging.h"
#include "cornelweir/loop.h"
#include "cornelweir/metrics.h"
#include "cornelweir/settings.h"
#include "cornelweir/shutdown.h"
#include "cornelweir/transport.h"
#include "plugins/daemon_context.h"
#include "programs/version.h"

namespace cornelweir::programs {
namespace {

namespace po = boost::program_options;
using logging::event;
using logging::event_id;

// docs/man/cornelweird.8 lists these.
constexpr int kExitUsage = 2;
constexpr int kExitBadSettings = 3;
constexpr int kExitCannotStart = 4;

// Names the settings file if the command line does not.
constexpr const char* kSettingsVariable = "CORNELWEIR_SETTINGS";

// Log lines wait for so long at most, so that many of them share one write.
constexpr std::chrono::milliseconds kLogFlushPeriod{100};

struct arguments {
  std::string settings_file;
  std::vector<std::string> overrides;
  bool check = false;
};

// Runs the plug-ins that the settings name until a signal asks to stop.
class daemon {
 public:
  explicit daemon(const settings::daemon_settings& settings)
      : settings_(settings),
        shutdown_timer_(loop_),
        log_timer_(loop_),
        pause_timer_(loop_),
        random_(Seed()),
        pauses_(clock_.Now()) {}

  boost::leaf::result<void> Start() {
    if (settings_.tls.enabled) {
      BOOST_LEAF_ASSIGN(
          tls_, transport::LoadTlsContext({settings_.tls.certificate_file, settings_.tls.key_file,
                                           settings_.tls.authority_file}));
    }
    context_.tls = tls_;
    for (const std::string& name : settings_.plugins) {
      const auto* entry = plugins::daemon_plugin_registry::Instance().Find(name);
      if (entry == nullptr) {
        return boost::leaf::new_error(plugins::plugin_error{"there is no plug-in '" + name + "'"});
      }
      BOOST_LEAF_AUTO(handle, entry->create(context_));
      plugins_.push_back(std::move(handle));
    }
    pause_timer_.StartPeriodic(loop::pause_tracker::kTickPeriod,
                               [this] { pauses_.Tick(clock_.Now()); });
    log_timer_.StartPeriodic(kLogFlushPeriod, [] { logging::FlushOutput(); });
    BOOST_LEAF_CHECK(admin_.Listen(settings_.admin_listen));
    for (const kernel::plugin_handle& plugin : plugins_) plugin.start();
    loop_.OnSignal([this](loop::process_signal signal) {
      if (signal == loop::process_signal::kHangUp) {
        event{event_id::kSettingsReloaded}.With("host", settings_.host).With("scope", "keys");
        ReloadKeys();
      } else {
        BeginShutdown();
      }
    });
    event{event_id::kProcessStarted}
        .With("host", settings_.host)
        .With("admin", admin_.local_endpoint());
    return {};
  }

  void Run() { loop_.Run(); }
  // Whether the shutdown ended before everything in progress.
  bool cut_short() const { return cut_short_; }

 private:
  static std::uint64_t Seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
  }

  boost::leaf::result<transport::tls_context> LoadKeys() const {
    return transport::LoadTlsContext(
        {settings_.tls.certificate_file, settings_.tls.key_file, settings_.tls.authority_file});
  }

  // Replaces the keys in the context that everybody shares. Open links keep theirs; a key that
  // can't be read leaves the old ones in force.
  void ReloadKeys() {
    if (!tls_) return;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(fresh, LoadKeys());
          *tls_ = std::move(*fresh);
          event{event_id::kKeysReloaded}.With("file", settings_.tls.certificate_file);
          return {};
        },
        [](const transport::transport_error& error) {
          event{event_id::kKeysRefused}.With("reason", error.detail);
        },
        [] { event{event_id::kKeysRefused}.With("reason", "unexpected failure"); });
  }

  // The signal may have been sent at the beginning of a pause of this process.
  void BeginShutdown() {
    if (shutting_down_) {
      event{event_id::kStopRepeated}.With("host", settings_.host);
      return;
    }
    shutting_down_ = true;
    const kernel::time_point now = clock_.Now();
    context_.stop_at =
        shutdown::StopTime(pauses_.InputArrival(now), settings::GracePeriod(settings_));
    const kernel::microseconds left =
        std::max(context_.stop_at - now, kernel::microseconds::zero());
    event{event_id::kProcessStopping}
        .With("host", settings_.host)
        .With("within_ms", kernel::ToMilliseconds(left).count());
    shutdown_timer_.Start(left, [this] {
      cut_short_ = true;
      loop_.Stop();
    });
    open_plugins_ = plugins_.size();
    for (const kernel::plugin_handle& plugin : plugins_) {
      plugin.begin_shutdown([this] {
        if (--open_plugins_ == 0) FinishShutdown();
      });
    }
    if (plugins_.empty()) FinishShutdown();
  }

  // Operators get the responses to the requests that the admin endpoint has read.
  void FinishShutdown() {
    admin_.BeginDrain([this] { loop_.Stop(); });
  }

  const settings::daemon_settings& settings_;
  const std::shared_ptr<memory::memory_account> memory_ = std::make_shared<memory::memory_account>(
      memory::memory_account::LimitFor(settings_.memory_mb));
  loop::event_loop loop_;
  http::admin_server admin_{loop_, {}, memory_};
  loop::timer shutdown_timer_;
  loop::timer log_timer_;
  loop::timer pause_timer_;
  metrics::metrics_registry metrics_;
  kernel::seeded_random random_;
  kernel::steady_clock_source clock_;
  loop::pause_tracker pauses_;
  transport::tls_context tls_;
  plugins::daemon_context context_{loop_,  settings_, admin_,  metrics_, random_,
                                   clock_, pauses_,   nullptr, memory_};
  std::vector<kernel::plugin_handle> plugins_;
  std::size_t open_plugins_ = 0;
  bool shutting_down_ = false;
  bool cut_short_ = false;
};

int ReportSettings(const settings::settings_error& error) {
  for (const settings::settings_fault& fault : error.faults) {
    std::cerr << fault.place << ": " << fault.reason << '\n';
  }
  return kExitBadSettings;
}

int CannotStart(const std::string& reason) {
  std::cerr << "cornelweird: " << reason << '\n';
  return kExitCannotStart;
}

int RunDaemon(const arguments& given) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(settings, settings::LoadSettings(given.settings_file, given.overrides));
        if (given.check) {
          std::cout << given.settings_file << ": ok\n";
          return EXIT_SUCCESS;
        }
        logging::StartLogging("cornelweird");
        daemon process(settings);
        BOOST_LEAF_CHECK(process.Start());
        process.Run();
        event{event_id::kProcessStopped}
            .With("host", settings.host)
            .With("cut_short", process.cut_short());
        logging::FlushOutput();
        // Releasing the memory of large policies and many links one by one would take longer than
        // is left of the grace period on a slow host.
        std::_Exit(EXIT_SUCCESS);
      },
      [](const settings::settings_error& error) { return ReportSettings(error); },
      [](const plugins::plugin_error& error) { return CannotStart(error.reason); },
      [](const transport::transport_error& error) { return CannotStart(error.detail); },
      [](const http::http_error& error) {
        return CannotStart("the admin endpoint: " + std::string(http::FaultName(error.fault)));
      },
      [] { return CannotStart("unexpected failure"); });
}

int Main(int argc, char** argv) {
  arguments given;
  po::options_description options("Usage: cornelweird [--settings] FILE [--set KEY=VALUE]...");
  options.add_options()("help,h", "print this text")("version", "print the version")(
      "settings,s", po::value(&given.settings_file), "settings file (JSON with comments)")(
      "set", po::value(&given.overrides)->composing(), "override one key of the settings")(
      "check", po::bool_switch(&given.check), "check the settings and exit");
  po::variables_map values;
  try {
    po::positional_options_description positional;
    positional.add("settings", 1);
    po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "cornelweird: " << error.what() << '\n';
    return kExitUsage;
  }
  if (values.contains("help")) {
    std::cout << options;
    return EXIT_SUCCESS;
  }
  if (values.contains("version")) {
    std::cout << "cornelweird " << kVersion << '\n';
    return EXIT_SUCCESS;
  }
  if (const char* named = std::getenv(kSettingsVariable); given.settings_file.empty() && named) {
    given.settings_file = named;
  }
  if (given.settings_file.empty()) {
    std::cerr << options;
    return kExitUsage;
  }
  return RunDaemon(given);
}

}  // namespace
}  // namespace cornelweir::programs

int main(int argc, char** argv) {
  // A write beyond the limit on file sizes, or to standard output that nobody reads any more, fails
  // with an error then instead of ending the process.
  std::signal(SIGXFSZ, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
  // Bodies are large and short-lived; their memory goes back to the system at once.
  constexpr int kReturnedBlockBytes = 64 << 10;
  ::mallopt(M_MMAP_THRESHOLD, kReturnedBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kReturnedBlockBytes);
  try {
    return cornelweir::programs::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "cornelweird: %s\n", error.what());
    return EXIT_FAILURE;
  }
}
