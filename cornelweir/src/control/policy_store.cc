#include "cornelweir/src/control/policy_store.h"

#include <algorithm>
#include <utility>

#include "cornelweir/src/control/limits.h"

namespace cornelweir::control {
namespace {

std::shared_ptr<const policy::policy_text> Share(const std::optional<policy::policy_text>& text) {
  return text ? std::make_shared<const policy::policy_text>(*text) : nullptr;
}

}  // namespace

bool IsSamePolicy(const accepted_policy& left, const accepted_policy& right) {
  if (left.version != right.version) return false;
  if (left.text_digest && right.text_digest) return left.text_digest == right.text_digest;
  return left.digest == right.digest;
}

bool policy_store::WasAccepted(const accepted_policy& policy) const {
  return std::any_of(accepted_.rbegin(), accepted_.rend(),
                     [&](const accepted_policy& earlier) { return IsSamePolicy(earlier, policy); });
}

policy_outcome policy_store::Replace(const replace_policy_command& command) {
  accepted_policy added{command.delta.version, command.digest, std::nullopt};
  if (command.text) added.text_digest = command.text->digest;
  if (WasAccepted(added)) return {true, false, current_->version};
  if (added.version <= current_->version) return {false, false, current_->version};
  auto next = policy::Apply(*current_, command.delta);
  if (!next) return {false, false, current_->version};
  current_ = std::make_shared<const policy::policy_table>(*std::move(next));
  text_ = Share(command.text);
  if (accepted_.size() >= kMaxRememberedPolicies) accepted_.erase(accepted_.begin());
  accepted_.push_back(added);
  return {true, true, current_->version};
}

policy_store_state policy_store::Snapshot() const {
  policy_store_state state{*current_, accepted_, std::nullopt};
  if (text_) state.text = *text_;
  return state;
}

void policy_store::Restore(const policy_store_state& state) {
  current_ = std::make_shared<const policy::policy_table>(state.current);
  text_ = Share(state.text);
  accepted_ = state.accepted;
}

}  // namespace cornelweir::control
