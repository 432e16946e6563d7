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

// A bounded summary of the versions that the daemons of a service enforce.
struct service_progress {
  kernel::service_name service;
  // The publisher's version, with which the versions of the daemons are compared.
  kernel::table_version version;
  // Daemons by version, newest first, at most kMaxVersionCounts entries. The last entry also counts
  // older versions.
  std::vector<version_count> counts;
  // Hosts of some of the daemons whose version is older than `version`, at most kMaxBehindHosts.
  std::vector<kernel::host_id> behind;
  // Announced daemons of the service. Those not included in `counts` have not reported here.
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

// Adds a daemon and the daemons that it serves.
void AddReport(const kernel::host_id& host, const applied& report, service_progress& progress);

// Adds the progress of the same service at another publisher.
void AddProgress(const service_progress& other, service_progress& progress);

// Numbers of daemons that enforce `version` or a newer one, and an older one. The last of
// kMaxVersionCounts entries may include daemons at older versions than it states.
daemon_count CountAtLeast(const service_progress& progress, kernel::table_version version);
daemon_count CountBehind(const service_progress& progress, kernel::table_version version);

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SERVICE_PROGRESS_H_
