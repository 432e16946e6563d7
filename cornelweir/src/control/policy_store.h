#ifndef CORNELWEIR_SRC_CONTROL_POLICY_STORE_H_
#define CORNELWEIR_SRC_CONTROL_POLICY_STORE_H_

#include <memory>
#include <tuple>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/policy.h"
#include "cornelweir/src/control/outcomes.h"

namespace cornelweir::control {

// The version and digest of an accepted policy, kept so that a resend can be distinguished from
// another change with the same version.
struct accepted_policy {
  kernel::policy_version version;
  kernel::policy_digest digest;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"version", &accepted_policy::version},
                      kernel::field{"digest", &accepted_policy::digest}};
  }
  friend bool operator==(const accepted_policy&, const accepted_policy&) = default;
};

// The state of a policy store, as stored in a snapshot.
struct policy_store_state {
  policy::policy_table current;
  std::vector<accepted_policy> accepted;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"current", &policy_store_state::current},
                      kernel::field{"accepted", &policy_store_state::accepted}};
  }
};

// The current policy, and the versions and digests of those accepted before.
class policy_store {
 public:
  policy_store() : current_(std::make_shared<policy::policy_table>()) {}

  // Accepts a delta if its base is the current policy and its version is greater. A policy that was
  // accepted before is accepted again without effect.
  policy_outcome Replace(const policy::policy_delta& delta, kernel::policy_digest digest);

  bool WasAccepted(kernel::policy_version version, kernel::policy_digest digest) const;
  const std::shared_ptr<const policy::policy_table>& current() const { return current_; }

  policy_store_state Snapshot() const { return {*current_, accepted_}; }
  void Restore(const policy_store_state& state);

 private:
  std::shared_ptr<const policy::policy_table> current_;
  // Oldest first.
  std::vector<accepted_policy> accepted_;
};

}  // namespace cornelweir::control

#endif  // CORNELWEIR_SRC_CONTROL_POLICY_STORE_H_
