#ifndef CORNELWEIR_SRC_STORAGE_IDENTITY_FILE_H_
#define CORNELWEIR_SRC_STORAGE_IDENTITY_FILE_H_

#include <boost/leaf.hpp>
#include <filesystem>
#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/storage/file_system.h"
#include "cornelweir/src/storage/record_codec.h"
#include "cornelweir/src/storage/record_types.h"

namespace cornelweir::storage::internal {

// The identity of a data folder, as read from its file.
struct folder_identity {
  kernel::disk_id disk;
  bool bootstrap = false;
  std::vector<kernel::host_id> initial_voters;
  // Whether the file is the one that the identity was written to, and not a copy of it.
  bool is_original = false;
};

kernel::disk_id RandomDiskId();

// Writes an identity durably, replacing an existing one. Fails with a storage_error.
template <file_calls Calls>
boost::leaf::result<void> WriteIdentityFile(const file_system<Calls>& files,
                                            const std::filesystem::path& path,
                                            const folder_identity& identity) {
  BOOST_LEAF_AUTO(written, files.Create(TemporaryPath(path)));
  identity_record content{
      kFormatVersion, identity.disk, identity.bootstrap, identity.initial_voters, {}};
  BOOST_LEAF_ASSIGN(content.file, written.Identity());
  BOOST_LEAF_AUTO(record, EncodeRecord(content, path));
  BOOST_LEAF_CHECK(written.Append(record));
  BOOST_LEAF_CHECK(written.Sync());
  BOOST_LEAF_CHECK(files.Rename(written.path(), path));
  return files.SyncFolder(path.parent_path());
}

// Reads an identity; empty if the file does not exist. Fails with kDamaged if it is damaged.
template <file_calls Calls>
boost::leaf::result<std::optional<folder_identity>> ReadIdentityFile(
    const file_system<Calls>& files, const std::filesystem::path& path) {
  BOOST_LEAF_AUTO(exists, files.Exists(path));
  if (!exists) return std::nullopt;
  BOOST_LEAF_AUTO(content, files.ReadFile(path));
  const parsed_record record = ReadRecord(content, 0);
  // The file was complete before it was renamed to this path, so a torn record is damage too.
  if (record.state != record_state::kComplete) return MakeError(storage_fault::kDamaged, path);
  BOOST_LEAF_AUTO(identity, DecodeRecord<identity_record>(record.payload, path, 0));
  if (identity.version > kFormatVersion) return MakeError(storage_fault::kInconsistent, path);
  BOOST_LEAF_AUTO(opened, files.OpenForAppend(path));
  BOOST_LEAF_AUTO(actual, opened.Identity());
  return folder_identity{identity.disk, identity.bootstrap, std::move(identity.initial_voters),
                         IsSameFile(identity.file, actual)};
}

}  // namespace cornelweir::storage::internal

#endif  // CORNELWEIR_SRC_STORAGE_IDENTITY_FILE_H_
