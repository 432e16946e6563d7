#ifndef CORNELWEIR_SRC_STORAGE_LOG_STORE_H_
#define CORNELWEIR_SRC_STORAGE_LOG_STORE_H_

#include <boost/leaf.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/durable_state.h"
#include "cornelweir/src/replication/log_entry.h"
#include "cornelweir/src/replication/snapshot.h"
#include "cornelweir/src/storage/file.h"
#include "cornelweir/src/storage/record_types.h"
#include "cornelweir/src/storage/recovered_state.h"

namespace cornelweir::storage {

// The files of one data folder:
//   identity            the disk id and the bootstrap flag
//   snapshot            the latest snapshot
//   log-<number>        segments of the log
//   lock                locked while a process uses the folder
//   *.replaced          data of an earlier identity, kept but no longer used
// A folder without an identity gets a new one, and so does a copy of a folder: a copy may be older
// than the original, so it must not vote or acknowledge entries under the identity of the original.
// Every call that fails returns a storage_error.
class log_store {
 public:
  // How a copy of a data folder is distinguished from the original. By files: the inodes and
  // creation times must be those that the store recorded, so the file system must keep them for as
  // long as a file exists. None, for file systems that don't: only the identity that the store
  // wrote counts, and a copy isn't recognized.
  enum class copy_check : std::uint8_t { kByFileIdentity, kNone };

  // Gives a new data folder an identity with the bootstrap flag. Called once on each host of the
  // initial configuration; fails with kAlreadyInitialized if the folder has an identity.
  static boost::leaf::result<void> Bootstrap(const std::filesystem::path& folder);

  // Opens a data folder and reads it. Truncates a torn record at the end of the log; fails with
  // kDamaged if data is corrupted anywhere else.
  static boost::leaf::result<std::shared_ptr<log_store>> Open(
      const std::filesystem::path& folder, copy_check check = copy_check::kByFileIdentity);

  // Whether the folder has an identity.
  static bool HasIdentity(const std::filesystem::path& folder);

  // Moves out the content that the folder had when it was opened. Must be called only once.
  recovered_state TakeRecoveredState();

  // Writes the state, and entries that replace the log from entries.front().index on. Both are
  // durable after the next Sync().
  boost::leaf::result<void> Append(const std::optional<replication::durable_state>& state,
                                   const std::vector<replication::log_entry>& entries);

  // Stores a snapshot durably and removes the part of the log that it replaces: the entries up to
  // its index, or all entries if none has the index and term of the snapshot.
  boost::leaf::result<void> SaveSnapshot(const replication::snapshot& saved);

  // Makes everything that was appended durable.
  boost::leaf::result<void> Sync();

  // The number of fdatasync calls for the log since Open().
  std::uint64_t sync_count() const { return sync_count_; }

 private:
  struct segment {
    std::filesystem::path path;
    std::uint64_t number = 0;
    // The largest index of all entries that were ever written to the segment.
    kernel::log_index highest_index;
  };

  explicit log_store(std::filesystem::path folder) : folder_(std::move(folder)) {}

  static boost::leaf::result<std::shared_ptr<log_store>> OpenLocked(
      const std::filesystem::path& folder);
  boost::leaf::result<void> CreateIdentity(bool bootstrap);
  // Whether the folder has an identity that was created for it. Fails if the identity is damaged.
  boost::leaf::result<bool> LoadIdentity();
  boost::leaf::result<void> ListSegments();
  // Whether the segments were written for the identity of this folder.
  boost::leaf::result<bool> LoadSegments();
  boost::leaf::result<bool> LoadSegment(std::size_t position);
  boost::leaf::result<void> ReplayRecord(const internal::log_record& replayed, segment& source,
                                         std::uint64_t offset);
  boost::leaf::result<void> ReconcileWithSnapshot();
  boost::leaf::result<void> StartSegment(bool reset, kernel::log_index index, kernel::term term);
  boost::leaf::result<void> WriteRecord(const internal::log_record& written);
  boost::leaf::result<void> RemoveFirstSegment();
  bool HasPosition(kernel::log_index index, kernel::term term) const;
  kernel::log_index last_index() const;
  kernel::term last_term() const;
  void AdvanceBase(kernel::log_index index, kernel::term term);
  // Marks the store as failed if write_result is an error; returns write_result.
  boost::leaf::result<void> MarkFailedOnError(boost::leaf::result<void> write_result);
  boost::leaf::result<void> CheckUsable() const;

  std::filesystem::path folder_;
  copy_check copy_check_ = copy_check::kByFileIdentity;
  internal::file lock_file_;
  internal::file active_segment_;
  std::vector<segment> segments_;
  recovered_state recovered_;
  replication::durable_state state_;
  // The terms of the entries after base_index_, for comparison with snapshots.
  kernel::log_index base_index_;
  kernel::term base_term_;
  std::deque<kernel::term> terms_;
  bool failed_ = false;
  std::uint64_t sync_count_ = 0;
};

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_LOG_STORE_H_
