#ifndef CORNELWEIR_SRC_STORAGE_SNAPSHOT_FILE_H_
#define CORNELWEIR_SRC_STORAGE_SNAPSHOT_FILE_H_

#include <boost/leaf.hpp>
#include <filesystem>
#include <optional>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/snapshot.h"

namespace cornelweir::storage::internal {

// Writes a snapshot durably, replacing an existing one. Fails with a storage_error.
boost::leaf::result<void> WriteSnapshotFile(const std::filesystem::path& path, kernel::disk_id disk,
                                            const replication::snapshot& saved);

// Reads a snapshot; empty if the file does not exist. Fails with kDamaged if it is damaged, and
// with kInconsistent if it was written for another disk.
boost::leaf::result<std::optional<replication::snapshot>> ReadSnapshotFile(
    const std::filesystem::path& path, kernel::disk_id disk);

}  // namespace cornelweir::storage::internal

#endif  // CORNELWEIR_SRC_STORAGE_SNAPSHOT_FILE_H_
