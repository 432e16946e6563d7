#include "programs/cornelweirctl/progress.h"

#include <utility>

namespace cornelweir::ctl {
namespace internal {
namespace {

struct sighting {
  status_reply::proxy proxy;
  kernel::host_id publisher;
  kernel::table_version publisher_version;
};

std::string ReasonOf(const sighting& seen, kernel::table_version version) {
  if (seen.publisher_version < version) {
    return "its control host " + seen.publisher.value() + " has only version " +
           std::to_string(seen.publisher_version.value());
  }
  if (!seen.proxy.ready) return "it has no freshness proof yet and takes no requests";
  return "it has not confirmed the version yet";
}

}  // namespace
}  // namespace internal

version_progress ProgressOf(const std::vector<host_report>& reports,
                            kernel::table_version version) {
  version_progress progress;
  std::map<kernel::host_id, internal::sighting> newest;
  for (const host_report& report : reports) {
    if (!report.failure.empty()) {
      progress.silent.push_back(report.asked);
      continue;
    }
    for (const status_reply::proxy& proxy : report.status.proxies) {
      const internal::sighting seen{proxy, report.status.host, report.status.version};
      const auto [known, inserted] = newest.try_emplace(proxy.host, seen);
      const auto rank = [](const internal::sighting& each) {
        return std::pair(each.proxy.version, each.proxy.ready);
      };
      if (!inserted && rank(known->second) < rank(seen)) known->second = seen;
    }
  }
  progress.proxies = newest.size();
  for (const auto& [host, seen] : newest) {
    if (seen.proxy.version >= version && seen.proxy.ready) continue;
    progress.late.push_back(
        {host, seen.proxy.service, seen.proxy.version, internal::ReasonOf(seen, version)});
  }
  return progress;
}

}  // namespace cornelweir::ctl
