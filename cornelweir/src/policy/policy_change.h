#ifndef CORNELWEIR_SRC_POLICY_POLICY_CHANGE_H_
#define CORNELWEIR_SRC_POLICY_POLICY_CHANGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cornelweir/src/policy/policy_table.h"

namespace cornelweir::policy {

enum class change_kind : std::uint8_t { kAdded, kRemoved, kChanged };

// One difference between two policies, for people. Never contains a key.
struct policy_change {
  change_kind kind = change_kind::kChanged;
  std::string place;
  // The member that changed, and its values. Empty for an element that was added or removed.
  std::string member;
  std::string from;
  std::string to;

  friend bool operator==(const policy_change&, const policy_change&) = default;
};

// The number of changes of each kind.
struct change_counts {
  std::size_t added = 0;
  std::size_t removed = 0;
  std::size_t changed = 0;

  friend bool operator==(const change_counts&, const change_counts&) = default;
};

change_counts CountByKind(const std::vector<policy_change>& changes);

// What differs between two policies. Weights are given as shares of the route's requests, and keys
// as counts.
std::vector<policy_change> Compare(const policy_table& from, const policy_table& to);

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_POLICY_CHANGE_H_
