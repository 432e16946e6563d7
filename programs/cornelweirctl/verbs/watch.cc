#include <string>

#include "cornelweir/table_text.h"
#include "programs/cornelweirctl/fetch.h"
#include "programs/cornelweirctl/limits.h"
#include "programs/cornelweirctl/number.h"
#include "programs/cornelweirctl/report.h"
#include "programs/cornelweirctl/status_query.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

std::string Summary(const version_progress& progress, kernel::table_version version) {
  return "version " + std::to_string(version.value()) + ": " +
         std::to_string(progress.proxies - progress.late.size()) + " of " +
         std::to_string(progress.proxies) + " proxies enforce it";
}

codec::json ToDocument(const version_progress& progress, kernel::table_version version) {
  codec::json document{{"version", version.value()},
                       {"proxies", progress.proxies},
                       {"late", codec::json::array()},
                       {"silent_control_hosts", codec::ToJson(progress.silent)}};
  for (const auto& late : progress.late) {
    document["late"].push_back({{"host", late.host.value()},
                                {"service", late.service.value()},
                                {"version", late.version.value()},
                                {"reason", late.reason}});
  }
  return document;
}

void PrintLate(std::ostream& out, const version_progress& progress) {
  table_text::text_grid grid;
  for (const auto& late : progress.late) {
    grid.AddLine({"late: " + late.host.value(), late.service.value(),
                  "version " + std::to_string(late.version.value()), late.reason});
  }
  out << grid.Text();
  for (const kernel::endpoint& host : progress.silent) {
    out << "control host " << host.value() << " does not answer; its proxies may be missing here\n";
  }
}

struct watch_verb {
  static constexpr std::string_view kName = "watch";
  static constexpr std::string_view kArguments = "[VERSION]";
  static constexpr std::string_view kSummary = "wait until every proxy enforces a version";
  static constexpr std::size_t kLeastArguments = 0;
  static constexpr std::size_t kMostArguments = 1;
  static std::vector<std::string_view> Options() { return {"timeout-ms", "interval-ms"}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    std::uint64_t number = 0;
    if (context.arguments.empty()) {
      BOOST_LEAF_AUTO(reply, FetchTable(context));
      number = reply.version.value();
    } else {
      BOOST_LEAF_ASSIGN(number, ParseNumber(context.arguments[0], "a version"));
    }
    const kernel::table_version version(number);
    const kernel::milliseconds interval(context.Option("interval-ms", kWatchInterval.count()));
    const kernel::milliseconds timeout(context.Option("timeout-ms", kWatchTimeout.count()));
    const kernel::steady_clock_source clock;
    const kernel::time_point deadline = clock.Now() + timeout;
    std::string shown;
    while (true) {
      const version_progress progress = ProgressOf(AskAllHosts(context), version);
      const std::string line = Summary(progress, version);
      if (line != shown && !context.json()) context.out << line << std::endl;
      shown = line;
      if (!progress.complete() && clock.Now() < deadline) {
        context.client.Wait(interval);
        continue;
      }
      if (context.json()) {
        PrintJson(context.out, ToDocument(progress, version));
      } else {
        PrintLate(context.out, progress);
      }
      return progress.complete() ? exit_code::kOk : exit_code::kRefused;
    }
  }
};

const verb_registration<watch_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
