#include <cstdint>
#include <map>
#include <string>

#include "cornelweir/table_text.h"
#include "programs/cornelweirctl/limits.h"
#include "programs/cornelweirctl/status_query.h"
#include "programs/cornelweirctl/verb_registry.h"

namespace cornelweir::ctl {
namespace {

void PrintHosts(std::ostream& out, const std::vector<host_report>& reports) {
  table_text::text_grid grid;
  grid.AddLine({"control host", "role", "term", "applied", "version", "revision", "subscribers"});
  for (const host_report& report : reports) {
    if (!report.failure.empty()) {
      grid.AddLine({report.asked.value(), report.failure});
      continue;
    }
    const status_reply& status = report.status;
    grid.AddLine({status.host.value(), status.role, std::to_string(status.term.value()),
                  std::to_string(status.applied_index.value()),
                  std::to_string(status.version.value()), std::to_string(status.revision.value()),
                  std::to_string(status.subscribers)});
  }
  out << grid.Text() << "\n";
}

void PrintServices(std::ostream& out, const std::vector<host_report>& reports) {
  // The host that has applied most knows the fleet best.
  const status_reply* newest = nullptr;
  for (const host_report& report : reports) {
    if (!report.failure.empty()) continue;
    if (newest == nullptr || newest->applied_index < report.status.applied_index) {
      newest = &report.status;
    }
  }
  if (newest == nullptr) return;
  std::map<kernel::service_name, std::map<std::string, int>> states;
  for (const auto& upstream : newest->upstreams) ++states[upstream.service][upstream.state];
  table_text::text_grid grid;
  grid.AddLine({"service", "ready", "starting", "draining"});
  for (auto& [service, count] : states) {
    grid.AddLine({service.value(), std::to_string(count["ready"]),
                  std::to_string(count["starting"]), std::to_string(count["draining"])});
  }
  out << grid.Text() << newest->quarantined.size() << " requests quarantined\n";
}

struct top_verb {
  static constexpr std::string_view kName = "top";
  static constexpr std::string_view kArguments = "";
  static constexpr std::string_view kSummary =
      "show the control hosts and services again and again";
  static constexpr std::size_t kLeastArguments = 0;
  static constexpr std::size_t kMostArguments = 0;
  static std::vector<std::string_view> Options() { return {"interval-ms", "count"}; }

  static boost::leaf::result<exit_code> Run(verb_context& context) {
    const kernel::milliseconds interval(context.Option("interval-ms", kTopInterval.count()));
    // 0: no end.
    const auto displays = context.Option<std::int64_t>("count", 0);
    for (std::int64_t display = 1; true; ++display) {
      const auto reports = AskAllHosts(context);
      // Moves to the top left corner and clears the screen.
      if (displays != 1) context.out << "\x1b[H\x1b[2J";
      PrintHosts(context.out, reports);
      PrintServices(context.out, reports);
      context.out.flush();
      if (display == displays) return exit_code::kOk;
      context.client.Wait(interval);
    }
  }
};

const verb_registration<top_verb> kRegistered;

}  // namespace
}  // namespace cornelweir::ctl
