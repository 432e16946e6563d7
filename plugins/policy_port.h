#ifndef CORNELWEIR_PLUGINS_POLICY_PORT_H_
#define CORNELWEIR_PLUGINS_POLICY_PORT_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "cornelweir/kernel.h"
#include "cornelweir/policy.h"

namespace cornelweir::plugins {

// How a replacement of the policy ended.
enum class policy_answer : std::uint8_t {
  // Accepted and durable on a majority, by this request or by an earlier one with the same content.
  kAccepted,
  // Another policy is current than the one that it builds on, or its version is not above it.
  kConflict,
  // No majority answered in time. It may take effect later.
  kUnknown,
};

// What the control plug-in offers to plug-ins that speak with operators.
struct policy_port {
  using replace_callback = std::function<void(policy_answer)>;
  // Null if it can't be proved which policy is the newest.
  using read_callback = std::function<void(std::shared_ptr<const policy::policy_table>)>;

  // Replaces the policy with this base by a valid one.
  std::function<void(kernel::policy_version base, policy::policy_table table, replace_callback)>
      replace;
  // Reads the newest accepted policy.
  std::function<void(read_callback)> read;
};

}  // namespace cornelweir::plugins

#endif  // CORNELWEIR_PLUGINS_POLICY_PORT_H_
