#ifndef CORNELWEIR_SRC_POLICY_WORKSPACE_H_
#define CORNELWEIR_SRC_POLICY_WORKSPACE_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::policy {

// A customer's workspace. Its callers prove with one of its keys that they belong to it.
struct workspace {
  // The name of a list element in an encoded list_delta.
  static constexpr std::string_view kElementName = "workspace";

  kernel::workspace_id name;
  std::vector<kernel::api_key> keys;
  // Takes precedence over the priority of the route.
  std::optional<std::int32_t> priority;
  // Requests that all daemons together admit: a sustained rate, and what may come at once beyond
  // it. Without a rate, or with 0, there is no limit.
  std::optional<kernel::request_rate> rate;
  std::optional<kernel::request_amount> burst;

  bool HasQuota() const { return rate && rate->value() > 0; }

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"n", &workspace::name}, kernel::field{"k", &workspace::keys},
                      kernel::field{"y", &workspace::priority},
                      kernel::field{"r", &workspace::rate}, kernel::field{"b", &workspace::burst}};
  }
  friend bool operator==(const workspace&, const workspace&) = default;
};

// Identifies a workspace within its policy.
struct workspace_key {
  kernel::workspace_id name;

  static constexpr auto Fields() { return std::tuple{kernel::field{"name", &workspace_key::name}}; }
  friend auto operator<=>(const workspace_key&, const workspace_key&) = default;
};

inline workspace_key KeyOf(const workspace& keyed) { return {keyed.name}; }
inline std::string_view ViewOf(const workspace& keyed) { return keyed.name.value(); }
inline std::string_view ViewOf(const workspace_key& key) { return key.name.value(); }

}  // namespace cornelweir::policy

#endif  // CORNELWEIR_SRC_POLICY_WORKSPACE_H_
