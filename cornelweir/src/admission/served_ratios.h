#ifndef CORNELWEIR_SRC_ADMISSION_SERVED_RATIOS_H_
#define CORNELWEIR_SRC_ADMISSION_SERVED_RATIOS_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "cornelweir/src/admission/limits.h"
#include "cornelweir/src/admission/share_table.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// How often the recent requests of each route were accepted, compared with all. The counts are
// exponentially decayed.
template <class Id>
class served_ratios {
 public:
  void OnAsked(const Id& id, kernel::time_point now) { Add(id, 1, 0, now); }
  // Adds accepted requests, or takes them back if the change is negative.
  void OnAccepted(const Id& id, int change, kernel::time_point now) { Add(id, 0, change, now); }

  // Whether id was accepted at most kMinRatioOfMean times as often as all. A request that is being
  // decided counts as accepted.
  bool IsBelowMinimum(const Id& id, kernel::time_point now) const {
    const counts* const found = counts_.Find(id);
    if (found == nullptr || total_.asked <= 0) return false;
    const counts own = Decayed(*found, now);
    const double mean = total_.accepted / total_.asked;
    return own.accepted <= kMinRatioOfMean * mean * own.asked;
  }

 private:
  struct counts {
    double asked = 0;
    double accepted = 0;
    kernel::time_point updated_at;
  };

  static counts Decayed(const counts& old, kernel::time_point now) {
    const double age = std::chrono::duration<double>(now - old.updated_at) /
                       std::chrono::duration<double>(kRecentShareTime);
    const double factor = std::exp(-age);
    return {old.asked * factor, old.accepted * factor, now};
  }

  void Add(const Id& id, double asked, double accepted, kernel::time_point now) {
    for (counts* changed : {&counts_.At(id, now), &total_}) {
      *changed = Decayed(*changed, now);
      changed->asked += asked;
      changed->accepted = std::max(changed->accepted + accepted, 0.0);
    }
  }

  share_table<Id, counts> counts_;
  counts total_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_SERVED_RATIOS_H_
