#include "cornelweir/src/storage/identity_file.h"

#include <cstdint>
#include <random>
#include <string>

#include "cornelweir/src/storage/record_codec.h"
#include "cornelweir/src/storage/record_types.h"

namespace cornelweir::storage::internal {

kernel::disk_id RandomDiskId() {
  std::random_device device;
  std::uint64_t value = 0;
  while (value == 0) value = (std::uint64_t{device()} << 32U) | device();
  return kernel::disk_id(value);
}

boost::leaf::result<void> WriteIdentityFile(const std::filesystem::path& path, kernel::disk_id disk,
                                            bool bootstrap) {
  BOOST_LEAF_AUTO(written, file::Create(TemporaryPath(path)));
  identity_record identity{kFormatVersion, disk, bootstrap, {}};
  BOOST_LEAF_ASSIGN(identity.file, written.Identity());
  BOOST_LEAF_AUTO(record, EncodeRecord(identity, path));
  BOOST_LEAF_CHECK(written.Append(record));
  BOOST_LEAF_CHECK(written.Sync());
  BOOST_LEAF_CHECK(Rename(written.path(), path));
  return SyncFolder(path.parent_path());
}

boost::leaf::result<std::optional<folder_identity>> ReadIdentityFile(
    const std::filesystem::path& path) {
  BOOST_LEAF_AUTO(exists, Exists(path));
  if (!exists) return std::nullopt;
  BOOST_LEAF_AUTO(content, ReadFile(path));
  const parsed_record record = ReadRecord(content, 0);
  // The file was complete before it was renamed to this path, so a torn record is damage too.
  if (record.state != record_state::kComplete) return MakeError(storage_fault::kDamaged, path);
  BOOST_LEAF_AUTO(identity, DecodeRecord<identity_record>(record.payload, path, 0));
  if (identity.version > kFormatVersion) return MakeError(storage_fault::kInconsistent, path);
  BOOST_LEAF_AUTO(opened, file::OpenForAppend(path));
  BOOST_LEAF_AUTO(actual, opened.Identity());
  return folder_identity{identity.disk, identity.bootstrap, IsSameFile(identity.file, actual)};
}

}  // namespace cornelweir::storage::internal
