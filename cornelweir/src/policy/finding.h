#ifndef CORNELWEIR_SRC_POLICY_FINDING_H_
#define CORNELWEIR_SRC_POLICY_FINDING_H_

#include <cstdint>
#include <string>
#include <tuple>

#include "cornelweir/src/kernel/field.h"

namespace cornelweir::policy {

enum class severity : std::uint8_t {
  // The policy is invalid: control hosts refuse it.
  kError,
  // The policy is valid, but a part of it has no effect or contradicts another.
  kWarning,
};

// What a check found, and in which part of the policy. Never contains a key.
struct finding {
  policy::severity severity = severity::kError;
  std::string place;
  std::string message;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"place", &finding::place},
                      kernel::field{"message", &finding::message}};
  }
  friend bool operator==(const finding&, const finding&) = default;
};

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_FINDING_H_
