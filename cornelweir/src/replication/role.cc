#include "cornelweir/src/replication/role.h"

namespace cornelweir::replication {

std::string_view RoleName(role value) {
  switch (value) {
    case role::kFollower:
      return "follower";
    case role::kPreCandidate:
      return "pre-candidate";
    case role::kCandidate:
      return "candidate";
    case role::kLeader:
      return "leader";
  }
  return "unknown";
}

}  // namespace cornelweir::replication
