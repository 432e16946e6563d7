#ifndef CORNELWEIR_PLUGINS_POLICY_PORT_H_
#define CORNELWEIR_PLUGINS_POLICY_PORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

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

// A policy as operators submit it.
struct policy_submission {
  // Must be valid.
  policy::policy_table table;
  // The text from which the table was read.
  std::string text;
  // The same for texts that differ only in layout. Resends are recognized by it.
  std::string normalized_text;
};

// The newest accepted policy. The table is null if it can't be determined for certain, and the text
// if a host of an earlier version proposed the policy.
struct policy_reading {
  std::shared_ptr<const policy::policy_table> table;
  std::shared_ptr<const policy::policy_text> text;
};

// The functions that the control plug-in offers to the plug-ins that serve operators.
struct policy_port {
  using replace_callback = std::function<void(policy_answer)>;
  using read_callback = std::function<void(const policy_reading&)>;

  // Replaces the policy whose version is base.
  std::function<void(kernel::policy_version base, policy_submission, replace_callback)> replace;
  // Reads the newest accepted policy.
  std::function<void(read_callback)> read;
};

}  // namespace cornelweir::plugins

#endif  // CORNELWEIR_PLUGINS_POLICY_PORT_H_
