#ifndef CORNELWEIR_SRC_MEMBERSHIP_MEMBER_SNAPSHOT_H_
#define CORNELWEIR_SRC_MEMBERSHIP_MEMBER_SNAPSHOT_H_

#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/membership/upstream_record.h"

namespace cornelweir::membership {

// A departed upstream. Its incarnations up to this one must not be accepted again.
struct tombstone {
  kernel::upstream_id id;
  kernel::incarnation incarnation;
  // The revision at which it left; the oldest tombstones are dropped first.
  kernel::membership_revision revision;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"id", &tombstone::id},
                      kernel::field{"incarnation", &tombstone::incarnation},
                      kernel::field{"revision", &tombstone::revision}};
  }
  friend bool operator==(const tombstone&, const tombstone&) = default;
};

// The whole state of a member table, as stored in a snapshot of the replicated log.
struct member_snapshot {
  kernel::membership_revision revision;
  std::vector<upstream_record> members;
  std::vector<tombstone> tombstones;
  // The largest incarnation of the tombstones that were dropped.
  kernel::incarnation floor;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"revision", &member_snapshot::revision},
                      kernel::field{"members", &member_snapshot::members},
                      kernel::field{"tombstones", &member_snapshot::tombstones},
                      kernel::field{"floor", &member_snapshot::floor}};
  }
  friend bool operator==(const member_snapshot&, const member_snapshot&) = default;
};

}  // namespace cornelweir::membership

#endif  // CORNELWEIR_SRC_MEMBERSHIP_MEMBER_SNAPSHOT_H_
