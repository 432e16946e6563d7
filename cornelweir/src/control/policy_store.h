#ifndef CORNELWEIR_SRC_CONTROL_POLICY_STORE_H_
#define CORNELWEIR_SRC_CONTROL_POLICY_STORE_H_

#include <memory>
#include <optional>
#include <tuple>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/policy.h"
#include "cornelweir/src/control/commands.h"
#include "cornelweir/src/control/outcomes.h"

namespace cornelweir::control {

// The version and digests of an accepted policy, kept so that a resend can be distinguished from
// another change with the same version.
struct accepted_policy {
  kernel::policy_version version;
  // Of the encoded table.
  kernel::policy_digest digest;
  // Empty if a host of an earlier version accepted the policy: those keep no text.
  std::optional<kernel::policy_digest> text_digest;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"version", &accepted_policy::version},
                      kernel::field{"digest", &accepted_policy::digest},
                      kernel::field{"text_digest", &accepted_policy::text_digest}};
  }
  friend bool operator==(const accepted_policy&, const accepted_policy&) = default;
};

// Whether both were submitted with the same content. Two texts may have the same table.
bool IsSamePolicy(const accepted_policy& left, const accepted_policy& right);

// The state of a policy store, as stored in a snapshot.
struct policy_store_state {
  policy::policy_table current;
  std::vector<accepted_policy> accepted;
  std::optional<policy::policy_text> text;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"current", &policy_store_state::current},
                      kernel::field{"accepted", &policy_store_state::accepted},
                      kernel::field{"text", &policy_store_state::text}};
  }
};

// The current policy, and the versions and digests of those accepted before.
class policy_store {
 public:
  policy_store() : current_(std::make_shared<policy::policy_table>()) {}

  // Accepts a policy if its base is the current one and its version is greater. A policy that was
  // accepted before is accepted again without effect.
  policy_outcome Replace(const replace_policy_command& command);

  bool WasAccepted(const accepted_policy& policy) const;
  const std::shared_ptr<const policy::policy_table>& current() const { return current_; }
  // The text of the current policy; null if a host of an earlier version proposed it.
  const std::shared_ptr<const policy::policy_text>& text() const { return text_; }

  policy_store_state Snapshot() const;
  void Restore(const policy_store_state& state);

 private:
  std::shared_ptr<const policy::policy_table> current_;
  std::shared_ptr<const policy::policy_text> text_;
  // Oldest first.
  std::vector<accepted_policy> accepted_;
};

}  // namespace cornelweir::control

#endif  // CORNELWEIR_SRC_CONTROL_POLICY_STORE_H_
