#ifndef CORNELWEIR_PLUGINS_POLICY_PORT_H_
#define CORNELWEIR_PLUGINS_POLICY_PORT_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "cornelweir/kernel.h"
#include "cornelweir/policy.h"

namespace cornelweir::plugins {

// The result of a policy replacement.
enum class policy_answer : std::uint8_t {
  // Accepted and durable on a majority, by this request or by an earlier one with the same content.
  kAccepted,
  // The base is not the current policy, or the new version is not above the current one.
  kConflict,
  // Larger than the log can hold. It has not been and will not be accepted.
  kTooLarge,
  // This host's storage takes no writes. It has not been stored and will not be accepted.
  kNotStored,
  // The result is unknown: no majority answered in time. The replacement may take effect later.
  kUnknown,
};

// The functions that the control plug-in offers to the plug-ins that serve operators.
struct policy_port {
  using replace_callback = std::function<void(policy_answer)>;
  // Gets null if the newest policy can't be determined for certain.
  using read_callback = std::function<void(std::shared_ptr<const policy::policy_table>)>;

  // Replaces the policy whose version is base by the table, which must be valid.
  std::function<void(kernel::policy_version base, policy::policy_table table, replace_callback)>
      replace;
  // Reads the newest accepted policy.
  std::function<void(read_callback)> read;
};

}  // namespace cornelweir::plugins

#endif  // CORNELWEIR_PLUGINS_POLICY_PORT_H_
