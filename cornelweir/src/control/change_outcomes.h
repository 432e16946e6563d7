#ifndef CORNELWEIR_SRC_CONTROL_CHANGE_OUTCOMES_H_
#define CORNELWEIR_SRC_CONTROL_CHANGE_OUTCOMES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>

#include "cornelweir/kernel.h"
#include "cornelweir/src/control/limits.h"
#include "cornelweir/src/control/outcomes.h"

namespace cornelweir::control {

// The outcomes of the latest kMaxChangeOutcomes changes, so that a resend gets the same answer.
class change_outcomes {
 public:
  std::optional<outcome> Find(const kernel::change_id& id) const {
    const auto found = outcomes_.find(id);
    if (found == outcomes_.end()) return std::nullopt;
    return found->second;
  }

  // Stores the outcome of a change unless one is stored already. Drops the oldest one above the
  // limit.
  void Store(const kernel::change_id& id, const outcome& first) {
    if (!outcomes_.emplace(id, first).second) return;
    order_.emplace(next_, id);
    ++next_;
    if (order_.size() <= kMaxChangeOutcomes) return;
    outcomes_.erase(order_.begin()->second);
    order_.erase(order_.begin());
  }

  std::size_t size() const { return outcomes_.size(); }

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"outcomes", &change_outcomes::outcomes_},
                      kernel::field{"order", &change_outcomes::order_},
                      kernel::field{"next", &change_outcomes::next_}};
  }

 private:
  std::map<kernel::change_id, outcome> outcomes_;
  std::map<std::uint64_t, kernel::change_id> order_;
  std::uint64_t next_ = 0;
};

}  // namespace cornelweir::control

#endif  // CORNELWEIR_SRC_CONTROL_CHANGE_OUTCOMES_H_
