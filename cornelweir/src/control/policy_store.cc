#include "cornelweir/src/control/policy_store.h"

#include <algorithm>
#include <utility>

#include "cornelweir/src/control/limits.h"

namespace cornelweir::control {

bool policy_store::WasAccepted(kernel::policy_version version, kernel::policy_digest digest) const {
  return std::find(accepted_.rbegin(), accepted_.rend(), accepted_policy{version, digest}) !=
         accepted_.rend();
}

policy_outcome policy_store::Replace(const policy::policy_delta& delta,
                                     kernel::policy_digest digest) {
  if (WasAccepted(delta.version, digest)) return {true, false, current_->version};
  if (delta.version <= current_->version) return {false, false, current_->version};
  auto next = policy::Apply(*current_, delta);
  if (!next) return {false, false, current_->version};
  current_ = std::make_shared<const policy::policy_table>(*std::move(next));
  if (accepted_.size() >= kMaxRememberedPolicies) accepted_.erase(accepted_.begin());
  accepted_.push_back({delta.version, digest});
  return {true, true, current_->version};
}

void policy_store::Restore(const policy_store_state& state) {
  current_ = std::make_shared<const policy::policy_table>(state.current);
  accepted_ = state.accepted;
}

}  // namespace cornelweir::control
