#ifndef CORNELWEIR_SRC_STORAGE_IDENTITY_FILE_H_
#define CORNELWEIR_SRC_STORAGE_IDENTITY_FILE_H_

#include <boost/leaf.hpp>
#include <filesystem>
#include <optional>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/storage/file.h"

namespace cornelweir::storage::internal {

// The identity of a data folder, as read from its file.
struct folder_identity {
  kernel::disk_id disk;
  bool bootstrap = false;
  // Whether the file is the one that the identity was written to, and not a copy of it.
  bool is_original = false;
};

kernel::disk_id RandomDiskId();

// Writes an identity durably, replacing an existing one. Fails with a storage_error.
boost::leaf::result<void> WriteIdentityFile(const std::filesystem::path& path, kernel::disk_id disk,
                                            bool bootstrap);

// Reads an identity; empty if the file does not exist. Fails with kDamaged if it is damaged.
boost::leaf::result<std::optional<folder_identity>> ReadIdentityFile(
    const std::filesystem::path& path);

}  // namespace cornelweir::storage::internal

#endif  // CORNELWEIR_SRC_STORAGE_IDENTITY_FILE_H_
