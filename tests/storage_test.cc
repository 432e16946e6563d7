#include "cornelweir/storage.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <string>

namespace cornelweir::storage {
namespace {

using replication::durable_state;
using replication::entry_kind;
using replication::log_entry;

log_entry Command(std::uint64_t term, std::uint64_t index, std::string payload) {
  return log_entry{kernel::term(term), kernel::log_index(index), entry_kind::kCommand,
                   kernel::byte_string{std::move(payload)}};
}

// A data folder that is removed at the end of a test.
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

TEST(Storage, ReadsBackWhatWasAppended) {
  const temporary_folder folder;
  const durable_state state{kernel::term(3), kernel::host_id("b")};
  kernel::disk_id disk;
  {
    auto store = log_store::Open(folder.path()).value();
    disk = store->Load().disk;
    ASSERT_TRUE(store->Append(state, {Command(1, 1, "x"), Command(3, 2, "y")}));
    ASSERT_TRUE(store->Append(std::nullopt, {Command(3, 2, "z")}));
    ASSERT_TRUE(store->Sync());
  }
  const recovered_state recovered = log_store::Open(folder.path()).value()->Load();
  EXPECT_EQ(recovered.state, state);
  EXPECT_EQ(recovered.disk, disk);
  EXPECT_FALSE(recovered.created);
  EXPECT_EQ(recovered.entries, (std::vector{Command(1, 1, "x"), Command(3, 2, "z")}));
}

}  // namespace
}  // namespace cornelweir::storage
