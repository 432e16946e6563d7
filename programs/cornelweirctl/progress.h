#ifndef PROGRAMS_CORNELWEIRCTL_PROGRESS_H_
#define PROGRAMS_CORNELWEIRCTL_PROGRESS_H_

#include <map>
#include <string>
#include <vector>

#include "cornelweir/kernel.h"
#include "programs/cornelweirctl/api/status_reply.h"

namespace cornelweir::ctl {

// What one control host said about itself, or why it did not answer.
struct host_report {
  kernel::endpoint asked;
  std::string failure;
  status_reply status;
};

// How far a version has reached the proxies.
struct version_progress {
  struct late_proxy {
    kernel::host_id host;
    kernel::service_name service;
    kernel::table_version version;
    std::string reason;
  };

  std::size_t proxies = 0;
  std::vector<late_proxy> late;
  // Control hosts that did not answer; their proxies may be missing.
  std::vector<kernel::endpoint> silent;

  bool complete() const { return late.empty() && silent.empty(); }
};

// Merges what control hosts report. A proxy that several hosts name counts with its newest version,
// since an older entry is left from before it moved.
version_progress ProgressOf(const std::vector<host_report>& reports, kernel::table_version version);

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_PROGRESS_H_
