#ifndef CORNELWEIR_SRC_ADMISSION_SHARE_TABLE_H_
#define CORNELWEIR_SRC_ADMISSION_SHARE_TABLE_H_

#include <cstddef>
#include <map>

#include "cornelweir/src/admission/limits.h"
#include "cornelweir/src/kernel/clock.h"

namespace cornelweir::admission {

// What is kept of each route or workspace. Share has a member updated_at. At most kMaxShares ids
// are kept apart; further ones share an entry, so the size does not grow with the number of
// workspaces.
template <class Id, class Share>
class share_table {
 public:
  // The entry of id to change. Drops the ids without recent changes.
  Share& At(const Id& id, kernel::time_point now) {
    if (now - pruned_at_ >= kSharePrunePeriod) Prune(now);
    return shares_[KeyOf(id)];
  }
  // Null if there is no entry of id.
  const Share* Find(const Id& id) const {
    const auto found = shares_.find(KeyOf(id));
    return found == shares_.end() ? nullptr : &found->second;
  }
  std::size_t size() const { return shares_.size(); }

 private:
  Id KeyOf(const Id& id) const {
    return shares_.size() < kMaxShares || shares_.contains(id) ? id : Id();
  }

  void Prune(kernel::time_point now) {
    pruned_at_ = now;
    std::erase_if(shares_, [now](const auto& entry) {
      return now - entry.second.updated_at >= kUsualShareTime;
    });
  }

  std::map<Id, Share> shares_;
  kernel::time_point pruned_at_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_SHARE_TABLE_H_
