#ifndef CORNELWEIR_SRC_REPLICATION_ROLE_H_
#define CORNELWEIR_SRC_REPLICATION_ROLE_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace cornelweir::replication {

// The part that a host plays in its group at the moment.
enum class role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

inline constexpr std::array kRoles{role::kFollower, role::kPreCandidate, role::kCandidate,
                                   role::kLeader};

// Returns the name for log lines, status and metrics.
std::string_view RoleName(role value);

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_ROLE_H_
