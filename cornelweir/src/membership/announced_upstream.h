#ifndef CORNELWEIR_SRC_MEMBERSHIP_ANNOUNCED_UPSTREAM_H_
#define CORNELWEIR_SRC_MEMBERSHIP_ANNOUNCED_UPSTREAM_H_

#include <cstdint>
#include <optional>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::membership {

// What a daemon knows from the latest announcement and responses of its upstream. The control hosts
// keep it, so that a daemon that restarts does not use an upstream that has announced its end, and
// does not send more requests than the upstream has slots or takes within its rate limit.
struct announced_upstream {
  kernel::upstream_id id;
  // See upstream_announcement.
  kernel::incarnation started_at;
  std::uint64_t sequence = 0;
  std::int64_t slots = 0;
  // The upstream drains or was withdrawn.
  bool draining = false;
  // The limit that its responses state, if any.
  std::optional<kernel::request_rate> rate_limit;
  // Of its software; empty if unknown.
  kernel::software_version version;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"id", &announced_upstream::id},
                      kernel::field{"started", &announced_upstream::started_at},
                      kernel::field{"sequence", &announced_upstream::sequence},
                      kernel::field{"slots", &announced_upstream::slots},
                      kernel::field{"draining", &announced_upstream::draining},
                      kernel::field{"rate_limit", &announced_upstream::rate_limit},
                      kernel::field{"version", &announced_upstream::version}};
  }
  friend bool operator==(const announced_upstream&, const announced_upstream&) = default;
};

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_ANNOUNCED_UPSTREAM_H_
