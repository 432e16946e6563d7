#ifndef CORNELWEIR_SRC_STORAGE_SNAPSHOT_FILE_H_
#define CORNELWEIR_SRC_STORAGE_SNAPSHOT_FILE_H_

#include <boost/leaf.hpp>
#include <cstddef>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/snapshot.h"
#include "cornelweir/src/storage/file_system.h"
#include "cornelweir/src/storage/record_codec.h"
#include "cornelweir/src/storage/record_types.h"

namespace cornelweir::storage::internal {

// Writes a snapshot durably beside the file that it is to replace. The existing snapshot and the
// log are unchanged, also if it fails.
template <file_calls Calls>
boost::leaf::result<void> WriteTemporarySnapshot(const file_system<Calls>& files,
                                                 const std::filesystem::path& path,
                                                 kernel::disk_id disk,
                                                 const replication::snapshot& saved) {
  BOOST_LEAF_AUTO(written, files.Create(TemporaryPath(path)));
  const std::string& data = saved.data.bytes;
  BOOST_LEAF_AUTO(header,
                  EncodeRecord(snapshot_header{kFormatVersion, disk, saved.index, saved.term,
                                               saved.configuration, data.size()},
                               path));
  BOOST_LEAF_CHECK(written.Append(header));
  for (std::size_t offset = 0; offset < data.size(); offset += kSnapshotPieceBytes) {
    BOOST_LEAF_CHECK(
        written.Append(FrameRecord(std::string_view(data).substr(offset, kSnapshotPieceBytes))));
  }
  return written.Sync();
}

// Replaces the snapshot by the temporary one.
template <file_calls Calls>
boost::leaf::result<void> PublishSnapshot(const file_system<Calls>& files,
                                          const std::filesystem::path& path) {
  BOOST_LEAF_CHECK(files.Rename(TemporaryPath(path), path));
  return files.SyncFolder(path.parent_path());
}

// Reads a snapshot; empty if the file does not exist. Fails with kDamaged if it is damaged, and
// with kInconsistent if it belongs to another disk.
template <file_calls Calls>
boost::leaf::result<std::optional<replication::snapshot>> ReadSnapshotFile(
    const file_system<Calls>& files, const std::filesystem::path& path, kernel::disk_id disk) {
  BOOST_LEAF_AUTO(exists, files.Exists(path));
  if (!exists) return std::nullopt;
  BOOST_LEAF_AUTO(content, files.ReadFile(path));
  parsed_record record = ReadRecord(content, 0);
  if (record.state != record_state::kComplete) return MakeError(storage_fault::kDamaged, path);
  BOOST_LEAF_AUTO(header, DecodeRecord<snapshot_header>(record.payload, path, 0));
  if (header.version > kFormatVersion || header.disk != disk) {
    return MakeError(storage_fault::kInconsistent, path);
  }
  replication::snapshot loaded{header.index, header.term, header.configuration, {}};
  std::size_t offset = kRecordHeaderBytes + record.payload.size();
  while (loaded.data.bytes.size() < header.size) {
    record = ReadRecord(content, offset);
    if (record.state != record_state::kComplete) {
      return MakeError(storage_fault::kDamaged, path, offset);
    }
    loaded.data.bytes += record.payload;
    offset += kRecordHeaderBytes + record.payload.size();
  }
  if (loaded.data.bytes.size() != header.size || offset != content.size()) {
    return MakeError(storage_fault::kDamaged, path, offset);
  }
  return loaded;
}

}  // namespace cornelweir::storage::internal

#endif  // CORNELWEIR_SRC_STORAGE_SNAPSHOT_FILE_H_
