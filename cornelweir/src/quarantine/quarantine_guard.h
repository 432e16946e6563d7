#ifndef CORNELWEIR_SRC_QUARANTINE_QUARANTINE_GUARD_H_
#define CORNELWEIR_SRC_QUARANTINE_QUARANTINE_GUARD_H_

#include <cstddef>
#include <map>
#include <vector>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/quarantine/crash_report.h"
#include "cornelweir/src/quarantine/crash_tracker.h"
#include "cornelweir/src/quarantine/limits.h"
#include "cornelweir/src/quarantine/quarantine_entry.h"
#include "cornelweir/src/quarantine/quarantine_list.h"
#include "cornelweir/src/quarantine/quarantined_fingerprint.h"

namespace cornelweir::quarantine {

// Decides at one daemon which requests to refuse. It needs no leader of the control group: the
// daemons of a service tell each other about crashes and completions, and each decides by the same
// rules. The control group's list is added to that; an entry that disappears from it before its
// end was released by an operator.
class quarantine_guard {
 public:
  // Records a crash of an upstream of the own service, at this daemon or at another one. Returns
  // the requests that it quarantines.
  std::vector<kernel::fingerprint> OnCrash(const kernel::service_name& service,
                                           const crash_report& report, kernel::time_point now);
  // An upstream completed the request, so it is harmless.
  void OnCompleted(kernel::fingerprint request) { tracker_.Clear(request); }
  // Whether the request was in progress at a crash and has not been completed since.
  bool IsSuspect(kernel::fingerprint request) const { return tracker_.IsSuspect(request); }

  // Adds a quarantine that another daemon decided or knows of.
  void Add(const quarantine_entry& entry, kernel::time_point now);
  // Replaces the control group's list. Returns the requests that were released.
  std::vector<kernel::fingerprint> ReplaceList(const std::vector<quarantined_fingerprint>& list,
                                               kernel::time_point now);

  // Time for which the request must be refused; zero if it may run.
  kernel::microseconds RefusedFor(kernel::fingerprint request, kernel::time_point now) const;
  // The quarantines of requests for the service.
  std::vector<quarantine_entry> EntriesFor(const kernel::service_name& service,
                                           kernel::time_point now) const;
  // Those of them that are not in the control group's list.
  std::vector<quarantine_entry> UnlistedFor(const kernel::service_name& service,
                                            kernel::time_point now) const;

  // Crashes recorded against the request.
  std::vector<upstream_crash> CrashesOf(kernel::fingerprint request) const {
    return tracker_.CrashesOf(request);
  }
  std::size_t suspects() const { return tracker_.state().suspects.size(); }
  std::size_t size() const { return entries_.size() + list_.size(); }

 private:
  struct known_quarantine {
    kernel::service_name service;
    kernel::time_point end;
  };

  void Release(kernel::fingerprint request);

  crash_tracker tracker_{kDaemonRules};
  quarantine_list list_;
  // Decided here or learned from other daemons, at most kMaxQuarantined. The one that ends first is
  // dropped first.
  std::map<kernel::fingerprint, known_quarantine> entries_;
};

}  // namespace cornelweir::quarantine

#endif  // CORNELWEIR_SRC_QUARANTINE_QUARANTINE_GUARD_H_
