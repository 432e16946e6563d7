#ifndef CORNELWEIR_SRC_REPLICATION_PROMOTION_RULE_H_
#define CORNELWEIR_SRC_REPLICATION_PROMOTION_RULE_H_

#include <cstdint>

namespace cornelweir::replication {

// Which learners may become voters. One that lacks entries makes the majority larger that a change
// needs, and does not help to reach it before it has stored these entries.
enum class promotion_rule : std::uint8_t { kCaughtUp, kAnyLearner };

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_PROMOTION_RULE_H_
