#ifndef CORNELWEIR_SRC_POLICY_REPLACE_KEYS_H_
#define CORNELWEIR_SRC_POLICY_REPLACE_KEYS_H_

#include <concepts>
#include <string>
#include <string_view>

#include "cornelweir/src/policy/policy_table.h"

namespace cornelweir::policy {

// Replaces each key by its digest, so that a policy can be shown and compared without its keys.
template <std::invocable<std::string_view> Digest>
void ReplaceKeys(policy_table& table, Digest digest) {
  for (workspace& entry : table.workspaces) {
    for (kernel::api_key& key : entry.keys) key = kernel::api_key(digest(key.value()));
  }
}

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_REPLACE_KEYS_H_
