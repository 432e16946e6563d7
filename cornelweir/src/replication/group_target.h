#ifndef CORNELWEIR_SRC_REPLICATION_GROUP_TARGET_H_
#define CORNELWEIR_SRC_REPLICATION_GROUP_TARGET_H_

#include <cstddef>

namespace cornelweir::replication {

// What a leader makes of its group.
struct group_target {
  std::size_t voters = 1;
  // The group has fewer voters and its log has no command yet. It accepts none before it has them,
  // so hosts that have announced themselves become voters even while they are silent.
  bool is_founding = false;
};

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_GROUP_TARGET_H_
