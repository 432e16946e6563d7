#ifndef CORNELWEIR_SRC_POLICY_WORKSPACE_INDEX_H_
#define CORNELWEIR_SRC_POLICY_WORKSPACE_INDEX_H_

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/policy/policy_table.h"

namespace cornelweir::policy {

// Finds the workspace of an API key. Refers to the table that it was built from, which must outlive
// it.
class workspace_index {
 public:
  workspace_index() = default;
  // The seed should be random and differ between processes: keys are found by a keyed hash, so that
  // the time of a lookup tells callers nothing about other keys.
  workspace_index(const policy_table& table, std::uint64_t seed);

  // The workspace that holds the key; null if none does.
  const workspace* Find(std::string_view key) const;

 private:
  struct key_entry {
    const kernel::api_key* key;
    const workspace* holder;
  };

  std::uint64_t seed_ = 0;
  std::unordered_multimap<std::uint64_t, key_entry> keys_;
};

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_WORKSPACE_INDEX_H_
