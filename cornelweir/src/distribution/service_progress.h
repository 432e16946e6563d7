#ifndef CORNELWEIR_SRC_DISTRIBUTION_SERVICE_PROGRESS_H_
#define CORNELWEIR_SRC_DISTRIBUTION_SERVICE_PROGRESS_H_

#include <tuple>
#include <vector>

#include "cornelweir/src/distribution/applied.h"
#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/version_count.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::distribution {

// Which versions the daemons below a publisher enforce, in a bounded size.
struct service_progress {
  kernel::service_name service;
  // The version that daemons are compared with.
  kernel::table_version version;
  // At most kMaxVersionCounts entries, newest first. The last one also counts older versions.
  std::vector<version_count> counts;
  // Some of the daemons that are behind version, at most kMaxBehindNames.
  std::vector<kernel::host_id> behind;
  // Announced daemons of the service. Those that counts does not cover have not reported here.
  daemon_count announced;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"service", &service_progress::service},
                      kernel::field{"version", &service_progress::version},
                      kernel::field{"counts", &service_progress::counts},
                      kernel::field{"behind", &service_progress::behind},
                      kernel::field{"announced", &service_progress::announced}};
  }
  friend bool operator==(const service_progress&, const service_progress&) = default;
};

// Adds a daemon and those below it.
void AddReport(const kernel::host_id& host, const applied& report, service_progress& progress);

// Adds what another publisher knows about the same service.
void AddProgress(const service_progress& other, service_progress& progress);

// How many daemons enforce version or a newer one, and how many an older one. Daemons in the last
// of kMaxVersionCounts entries may be older than it says.
daemon_count CountAtLeast(const service_progress& progress, kernel::table_version version);
daemon_count CountBehind(const service_progress& progress, kernel::table_version version);

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SERVICE_PROGRESS_H_
