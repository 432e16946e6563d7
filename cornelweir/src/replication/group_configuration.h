#ifndef CORNELWEIR_SRC_REPLICATION_GROUP_CONFIGURATION_H_
#define CORNELWEIR_SRC_REPLICATION_GROUP_CONFIGURATION_H_

#include <tuple>
#include <vector>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"

namespace cornelweir::replication {

// The disk that the group has on record for a host.
struct disk_record {
  kernel::host_id host;
  kernel::disk_id disk;
  // The host was a voter until its disk was replaced; the leader makes it one again once it has
  // caught up.
  bool promote = false;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"host", &disk_record::host},
                      kernel::field{"disk", &disk_record::disk},
                      kernel::field{"promote", &disk_record::promote}};
  }
  friend bool operator==(const disk_record&, const disk_record&) = default;
};

// The hosts of the group. A voter is identified by its host id and its recorded disk. A voter
// without a record belongs to the initial configuration, and only a host that was started with the
// bootstrap flag may act as that voter.
struct group_configuration {
  std::vector<kernel::host_id> voters;
  std::vector<kernel::host_id> learners;
  std::vector<disk_record> disks = {};

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"voters", &group_configuration::voters},
                      kernel::field{"learners", &group_configuration::learners},
                      kernel::field{"disks", &group_configuration::disks}};
  }
  friend bool operator==(const group_configuration&, const group_configuration&) = default;
};

bool IsVoter(const group_configuration& configuration, const kernel::host_id& host);
bool IsLearner(const group_configuration& configuration, const kernel::host_id& host);

// Returns the disk record of a host, or null if there is none.
const disk_record* FindDiskRecord(const group_configuration& configuration,
                                  const kernel::host_id& host);

// Whether a host on this disk is the member that the configuration records. Without a record, any
// disk that was started with the bootstrap flag counts.
bool IsRecordedDisk(const group_configuration& configuration, const kernel::host_id& host,
                    kernel::disk_id disk, bool bootstrap);

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_GROUP_CONFIGURATION_H_
