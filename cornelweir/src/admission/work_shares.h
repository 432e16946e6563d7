#ifndef CORNELWEIR_SRC_ADMISSION_WORK_SHARES_H_
#define CORNELWEIR_SRC_ADMISSION_WORK_SHARES_H_

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

#include "cornelweir/src/admission/limits.h"
#include "cornelweir/src/admission/share_table.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// The work that was admitted recently for each route or workspace, compared with what is usual for
// it. Both are exponentially decayed sums.
template <class Id>
class work_shares {
 public:
  // Adds admitted work of id, or takes it back if the work is negative.
  void Add(const Id& id, kernel::microseconds work, kernel::time_point now) {
    const auto amount = static_cast<double>(work.count());
    share& changed = shares_.At(id, now);
    Decay(changed, now);
    Decay(total_, now);
    for (share* sum : {&changed, &total_}) {
      sum->recent = std::max(sum->recent + amount, 0.0);
      sum->usual = std::max(sum->usual + amount, 0.0);
    }
  }

  // How far the rate of the recent work of id is above its usual rate: 0 below kExcessStep times
  // the usual rate, 1 below the square of that, and so on. A rate that is usually small counts as
  // kMinShareOfMean of the mean, so that single requests of a small workspace are not above it.
  int ExcessLevel(const Id& id, kernel::time_point now) const {
    const share* const found = shares_.Find(id);
    if (found == nullptr) return 0;
    const double usual = std::max(UsualRate(*found, now), MinShare() * UsualRate(total_, now));
    const double recent = RecentRate(*found, now);
    return recent < usual * kExcessStep
               ? 0
               : static_cast<int>(std::log(recent / usual) / std::log(kExcessStep));
  }

  // Whether id got less than kMinShareOfMean of the mean work per id.
  bool IsBelowMinimum(const Id& id, kernel::time_point now) const {
    const double total = RecentRate(total_, now);
    if (total <= 0) return false;
    const share* const found = shares_.Find(id);
    if (found == nullptr) return shares_.size() > 0;
    return RecentRate(*found, now) < MinShare() * total;
  }

 private:
  struct share {
    double recent = 0;
    double usual = 0;
    kernel::time_point updated_at;
    kernel::time_point started_at;
  };

  double MinShare() const {
    return kMinShareOfMean / static_cast<double>(std::max<std::size_t>(shares_.size(), 1));
  }

  static double Fraction(kernel::microseconds part, kernel::microseconds whole) {
    return std::chrono::duration<double>(part) / std::chrono::duration<double>(whole);
  }

  static double Decayed(double sum, const share& of, kernel::microseconds decay_time,
                        kernel::time_point now) {
    return sum * std::exp(-Fraction(now - of.updated_at, decay_time));
  }

  // The mean rate over the decay time, or since the first work if that is less.
  static double Rate(double sum, const share& of, kernel::microseconds decay_time,
                     kernel::time_point now) {
    const double covered =
        1 - std::exp(-Fraction(now - of.started_at + kRecentShareTime / 2, decay_time));
    return Decayed(sum, of, decay_time, now) / (static_cast<double>(decay_time.count()) * covered);
  }
  static double RecentRate(const share& of, kernel::time_point now) {
    return Rate(of.recent, of, kRecentShareTime, now);
  }
  static double UsualRate(const share& of, kernel::time_point now) {
    return Rate(of.usual, of, kUsualShareTime, now);
  }

  static void Decay(share& decayed, kernel::time_point now) {
    if (decayed.started_at == kernel::time_point()) decayed.started_at = decayed.updated_at = now;
    decayed.recent = Decayed(decayed.recent, decayed, kRecentShareTime, now);
    decayed.usual = Decayed(decayed.usual, decayed, kUsualShareTime, now);
    decayed.updated_at = now;
  }

  share_table<Id, share> shares_;
  share total_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_WORK_SHARES_H_
