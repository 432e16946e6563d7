#include "cornelweir/storage.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace cornelweir::storage {
namespace {

using replication::durable_state;
using replication::entry_kind;
using replication::log_entry;

log_entry Command(std::uint64_t term, std::uint64_t index, std::string payload) {
  return log_entry{kernel::term(term), kernel::log_index(index), entry_kind::kCommand,
                   kernel::byte_string{std::move(payload)}};
}

// A data folder that is removed at the end of the test.
class temporary_folder {
 public:
  temporary_folder() {
    std::string pattern = testing::TempDir() + "replication-storage-XXXXXX";
    path_ = ::mkdtemp(pattern.data());
  }
  ~temporary_folder() { std::filesystem::remove_all(path_); }

  const std::filesystem::path& path() const { return path_; }

 private:
  std::filesystem::path path_;
};

// Returns the error of a call; fault kFailed with an empty file if it succeeded.
template <class Call>
storage_error ErrorOf(Call&& call) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<storage_error> {
        BOOST_LEAF_CHECK(call());
        return storage_error{storage_fault::kFailed, "", 0, 0};
      },
      [](const storage_error& error) { return error; },
      [] {
        return storage_error{storage_fault::kFailed, "no storage_error", 0, 0};
      });
}

std::filesystem::path FirstSegment(const temporary_folder& folder) {
  return folder.path() / "log-00000000000000000001";
}

std::string ReadBytes(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Writes in place, so that the file keeps its identity.
void WriteBytes(const std::filesystem::path& path, std::size_t offset, const std::string& bytes) {
  std::fstream file(path, std::ios::binary | std::ios::in | std::ios::out);
  file.seekp(static_cast<std::streamoff>(offset));
  file.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
}

recovered_state Reopen(const temporary_folder& folder) {
  return log_store::Open(folder.path()).value()->TakeRecoveredState();
}

void AppendDurably(const temporary_folder& folder, const std::vector<log_entry>& entries) {
  auto store = log_store::Open(folder.path()).value();
  ASSERT_TRUE(store->Append(std::nullopt, entries));
  ASSERT_TRUE(store->Sync());
}

TEST(Storage, RecoversAppendedEntries) {
  const temporary_folder folder;
  const durable_state state{kernel::term(3), kernel::host_id("b")};
  kernel::disk_id disk;
  {
    auto store = log_store::Open(folder.path()).value();
    disk = store->TakeRecoveredState().disk;
    ASSERT_TRUE(store->Append(state, {Command(1, 1, "x"), Command(3, 2, "y")}));
    ASSERT_TRUE(store->Append(std::nullopt, {Command(3, 2, "z")}));
    ASSERT_TRUE(store->Sync());
  }
  const recovered_state recovered = log_store::Open(folder.path()).value()->TakeRecoveredState();
  EXPECT_EQ(recovered.state, state);
  EXPECT_EQ(recovered.disk, disk);
  EXPECT_FALSE(recovered.identity_created);
  EXPECT_EQ(recovered.entries, (std::vector{Command(1, 1, "x"), Command(3, 2, "z")}));
}

// Guards against a host that can't start, or reads an incomplete record, after a crash during a
// write.
TEST(Storage, TruncatesATornTailAtAnyLength) {
  const temporary_folder folder;
  AppendDurably(folder, {Command(1, 1, "first")});
  const std::size_t intact_size = std::filesystem::file_size(FirstSegment(folder));
  AppendDurably(folder, {Command(1, 2, "second")});
  const std::size_t full_size = std::filesystem::file_size(FirstSegment(folder));
  for (std::size_t size = intact_size + 1; size < full_size; ++size) {
    std::filesystem::resize_file(FirstSegment(folder), size);
    const recovered_state recovered = Reopen(folder);
    ASSERT_EQ(recovered.entries, std::vector{Command(1, 1, "first")}) << size;
    EXPECT_EQ(recovered.torn_bytes, size - intact_size);
    EXPECT_EQ(recovered.torn_file, FirstSegment(folder).string());
    AppendDurably(folder, {Command(1, 2, "second")});
  }
  EXPECT_EQ(Reopen(folder).entries.size(), 2U);
}

// Guards against a host that can't start after a power failure in which the last blocks of a record
// never reached the disk.
TEST(Storage, TruncatesATailWithUnwrittenBlocks) {
  const temporary_folder folder;
  AppendDurably(folder, {Command(1, 1, "first")});
  AppendDurably(folder, {Command(1, 2, std::string(2000, 'x'))});
  const std::size_t size = std::filesystem::file_size(FirstSegment(folder));
  WriteBytes(FirstSegment(folder), size - 1100, std::string(1100, '\0'));
  EXPECT_EQ(Reopen(folder).entries, std::vector{Command(1, 1, "first")});
}

// Guards against acknowledged entries being silently dropped or changed. This includes the last
// record, which may have been acknowledged as well.
TEST(Storage, RefusesAChangedByteAnywhere) {
  const temporary_folder folder;
  AppendDurably(folder, {Command(1, 1, "first"), Command(1, 2, "second")});
  AppendDurably(folder, {Command(1, 3, "third")});
  const std::filesystem::path segment = FirstSegment(folder);
  const std::string content = ReadBytes(segment);
  for (std::size_t offset = 0; offset < content.size(); ++offset) {
    for (const int mask : {0x01, 0x80, 0xFF}) {
      WriteBytes(segment, offset, std::string(1, static_cast<char>(content[offset] ^ mask)));
      const storage_error error = ErrorOf([&] { return log_store::Open(folder.path()); });
      ASSERT_EQ(error.fault, storage_fault::kDamaged) << offset;
      EXPECT_EQ(error.file, segment.string());
      EXPECT_LE(error.offset, offset);
    }
    WriteBytes(segment, offset, content.substr(offset, 1));
  }
  EXPECT_EQ(Reopen(folder).entries.size(), 3U);
}

// Guards against a log that grows without bound, and against the loss of entries that the snapshot
// doesn't cover.
TEST(Storage, RemovesSegmentsThatASnapshotCovers) {
  const temporary_folder folder;
  const std::string block(kRecordSplitBytes, 'x');
  const replication::snapshot saved{kernel::log_index(80),
                                    kernel::term(1),
                                    {{kernel::host_id("a")}, {}},
                                    {std::string(2 * kSnapshotPieceBytes + 1, 's')}};
  const durable_state state{kernel::term(1), kernel::host_id("a")};
  {
    auto store = log_store::Open(folder.path()).value();
    ASSERT_TRUE(store->Append(state, {}));
    for (std::uint64_t index = 1; index <= 81; ++index) {
      ASSERT_TRUE(store->Append(std::nullopt, {Command(1, index, block)}));
    }
    const std::uint64_t before = store->sync_count();
    ASSERT_TRUE(store->Sync());
    EXPECT_EQ(store->sync_count(), before + 1);
    EXPECT_FALSE(std::filesystem::is_empty(FirstSegment(folder)));
    ASSERT_TRUE(store->SaveSnapshot(saved));
    EXPECT_FALSE(std::filesystem::exists(FirstSegment(folder)));
  }
  const recovered_state recovered = Reopen(folder);
  EXPECT_EQ(recovered.state, state);
  EXPECT_EQ(recovered.snapshot, saved);
  EXPECT_EQ(recovered.entries, std::vector{Command(1, 81, block)});
}

// Guards against entries of a deposed leader reappearing after a snapshot replaced them.
TEST(Storage, ResetsTheLogToASnapshotThatDiffers) {
  const temporary_folder folder;
  AppendDurably(folder, {Command(1, 1, "a"), Command(1, 2, "b"), Command(1, 3, "c")});
  const replication::snapshot installed{kernel::log_index(2), kernel::term(2), {}, {"state"}};
  ASSERT_TRUE(log_store::Open(folder.path()).value()->SaveSnapshot(installed));
  EXPECT_TRUE(Reopen(folder).entries.empty());
  AppendDurably(folder, {Command(2, 3, "d")});
  const recovered_state recovered = Reopen(folder);
  EXPECT_EQ(recovered.snapshot, installed);
  EXPECT_EQ(recovered.entries, std::vector{Command(2, 3, "d")});
}

// Guards against loading state from a damaged snapshot.
TEST(Storage, RefusesADamagedSnapshot) {
  const temporary_folder folder;
  const replication::snapshot saved{kernel::log_index(2), kernel::term(2), {}, {"state"}};
  ASSERT_TRUE(log_store::Open(folder.path()).value()->SaveSnapshot(saved));
  const std::filesystem::path path = folder.path() / "snapshot";
  const std::string content = ReadBytes(path);
  WriteBytes(path, content.size() - 1, "?");
  EXPECT_EQ(ErrorOf([&] { return log_store::Open(folder.path()); }).fault, storage_fault::kDamaged);
  std::filesystem::resize_file(path, content.size() - 1);
  EXPECT_EQ(ErrorOf([&] { return log_store::Open(folder.path()); }).file, path.string());
}

// Guards against a copy, which may be older than the original, or an incomplete folder voting under
// the identity of the original.
TEST(Storage, GivesCopiesAndIncompleteFoldersANewIdentity) {
  const temporary_folder folder;
  ASSERT_TRUE(log_store::Bootstrap(folder.path()));
  AppendDurably(folder, {Command(1, 1, "x")});
  const recovered_state original = Reopen(folder);
  EXPECT_TRUE(original.bootstrap);
  EXPECT_FALSE(original.identity_created);
  const auto expect_new = [&](const recovered_state& reopened) {
    EXPECT_NE(reopened.disk, original.disk);
    EXPECT_FALSE(reopened.bootstrap);
    EXPECT_TRUE(reopened.identity_created);
    EXPECT_TRUE(reopened.set_aside);
    EXPECT_TRUE(reopened.entries.empty());
    EXPECT_EQ(reopened.state, durable_state());
  };
  const auto copy_to = [&](const temporary_folder& copy) {
    std::filesystem::copy(folder.path(), copy.path(), std::filesystem::copy_options::recursive);
  };
  const temporary_folder copy;
  copy_to(copy);
  expect_new(Reopen(copy));
  const temporary_folder older_segment;
  copy_to(older_segment);
  std::filesystem::copy(FirstSegment(older_segment), folder.path() / "restored");
  std::filesystem::rename(folder.path() / "restored", FirstSegment(folder));
  expect_new(Reopen(folder));
  for (const char* removed_name : {"identity", "log-00000000000000000001"}) {
    std::filesystem::remove(copy.path() / removed_name);
    expect_new(Reopen(copy));
  }
}

// Guards against a bootstrap option that remains in a start command: after the loss of a disk, it
// would make the host a voter that has lost its votes.
TEST(Storage, BootstrapsOnlyOnce) {
  const temporary_folder folder;
  ASSERT_TRUE(log_store::Bootstrap(folder.path()));
  EXPECT_EQ(ErrorOf([&] { return log_store::Bootstrap(folder.path()); }).fault,
            storage_fault::kAlreadyInitialized);
}

// Guards against two processes writing to one log.
TEST(Storage, LocksTheFolder) {
  const temporary_folder folder;
  const auto store = log_store::Open(folder.path()).value();
  EXPECT_EQ(ErrorOf([&] { return log_store::Open(folder.path()); }).fault, storage_fault::kLocked);
}

// Guards against acknowledging data after a failed write, when the content of the disk is unknown.
TEST(Storage, RejectsCallsAfterAFailedWrite) {
  const temporary_folder folder;
  const auto store = log_store::Open(folder.path()).value();
  ASSERT_TRUE(store->Append(std::nullopt, {Command(1, 1, "x")}));
  struct rlimit previous {};
  ::getrlimit(RLIMIT_FSIZE, &previous);
  struct rlimit limited = previous;
  limited.rlim_cur = 2000;
  const auto previous_handler = std::signal(SIGXFSZ, SIG_IGN);
  ::setrlimit(RLIMIT_FSIZE, &limited);
  const storage_error write_error =
      ErrorOf([&] { return store->Append(std::nullopt, {Command(1, 2, std::string(4000, 'y'))}); });
  ::setrlimit(RLIMIT_FSIZE, &previous);
  std::signal(SIGXFSZ, previous_handler);
  EXPECT_EQ(write_error.system_error, EFBIG);
  EXPECT_EQ(ErrorOf([&] { return store->Append(std::nullopt, {Command(1, 2, "z")}); }).fault,
            storage_fault::kFailed);
  EXPECT_EQ(ErrorOf([&] { return store->Sync(); }).fault, storage_fault::kFailed);
}

}  // namespace
}  // namespace cornelweir::storage
