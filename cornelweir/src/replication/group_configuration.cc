#include "cornelweir/src/replication/group_configuration.h"

#include <algorithm>

namespace cornelweir::replication {

bool IsVoter(const group_configuration& configuration, const kernel::host_id& host) {
  return std::find(configuration.voters.begin(), configuration.voters.end(), host) !=
         configuration.voters.end();
}

bool IsLearner(const group_configuration& configuration, const kernel::host_id& host) {
  return std::find(configuration.learners.begin(), configuration.learners.end(), host) !=
         configuration.learners.end();
}

const disk_record* FindDiskRecord(const group_configuration& configuration,
                                  const kernel::host_id& host) {
  for (const disk_record& record : configuration.disks) {
    if (record.host == host) return &record;
  }
  return nullptr;
}

bool IsRecordedDisk(const group_configuration& configuration, const kernel::host_id& host,
                    kernel::disk_id disk, bool bootstrap) {
  const disk_record* record = FindDiskRecord(configuration, host);
  return record != nullptr ? record->disk == disk : bootstrap;
}

}  // namespace cornelweir::replication
