#include "cornelweir/src/storage/snapshot_file.h"

#include <string>
#include <string_view>

#include "cornelweir/src/storage/file.h"
#include "cornelweir/src/storage/record_codec.h"
#include "cornelweir/src/storage/record_types.h"

namespace cornelweir::storage::internal {

boost::leaf::result<void> WriteSnapshotFile(const std::filesystem::path& path, kernel::disk_id disk,
                                            const replication::snapshot& saved) {
  BOOST_LEAF_AUTO(written, file::Create(TemporaryPath(path)));
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
  BOOST_LEAF_CHECK(written.Sync());
  BOOST_LEAF_CHECK(Rename(written.path(), path));
  return SyncFolder(path.parent_path());
}

boost::leaf::result<std::optional<replication::snapshot>> ReadSnapshotFile(
    const std::filesystem::path& path, kernel::disk_id disk) {
  BOOST_LEAF_AUTO(exists, Exists(path));
  if (!exists) return std::nullopt;
  BOOST_LEAF_AUTO(content, ReadFile(path));
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
