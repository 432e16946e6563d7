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
#include "cornelweir/src/storage/file_system.h"
#include "cornelweir/src/storage/log_position.h"
#include "cornelweir/src/storage/posix_calls.h"
#include "cornelweir/src/storage/record_types.h"
#include "cornelweir/src/storage/recovered_state.h"
#include "cornelweir/src/storage/store_options.h"

namespace cornelweir::storage {

// The files of one data folder:
//   identity            the disk id and the bootstrap flag
//   snapshot            the latest snapshot
//   log-<number>        segments of the log
//   lock                locked while a process uses the folder
//   *.replaced          data of an earlier identity, kept but no longer used
// A folder without an identity gets a new one, and so does a copy of a folder: a copy may be older
// than the original, so it must not vote or acknowledge entries under the identity of the original.
// The same holds for a folder in which data is missing that was durable before a write failed.
// Every call that fails returns a storage_error. After a failed write or sync the store rejects all
// calls until Load() has succeeded.
template <file_calls Calls>
class basic_log_store {
 public:
  using copy_check = storage::copy_check;

  basic_log_store(std::filesystem::path folder, store_options options, Calls calls = {})
      : folder_(std::move(folder)), options_(std::move(options)), files_(calls) {}

  // Gives a new data folder an identity with the bootstrap flag. Called once on each host of the
  // initial configuration; fails with kAlreadyInitialized if the folder has an identity.
  static boost::leaf::result<void> Bootstrap(const std::filesystem::path& folder, Calls calls = {});

  // Creates a store for a data folder and loads it.
  static boost::leaf::result<std::shared_ptr<basic_log_store>> Open(
      const std::filesystem::path& folder, copy_check check = copy_check::kByFileIdentity,
      Calls calls = {});

  // Reads the data folder, for the first time or after a call has failed. Truncates a torn record
  // at the end of the log; fails with kDamaged if data is corrupted anywhere else. After a failure,
  // first cuts off what was not durable before it and proves by a write and a sync that the disk
  // takes data again.
  boost::leaf::result<void> Load();

  // Moves out the content that the folder had when it was loaded. Must be called only once after
  // each Load().
  recovered_state TakeRecoveredState();

  // Writes the state, and entries that replace the log from entries.front().index on. Both are
  // durable after the next Sync().
  boost::leaf::result<void> Append(const std::optional<replication::durable_state>& state,
                                   const std::vector<replication::log_entry>& entries);

  // Stores a snapshot durably and removes the part of the log that it replaces: the entries up to
  // its index, or all entries if none has the index and term of the snapshot. If the snapshot can't
  // be written, the log is unchanged and remains usable; see IsUsable().
  boost::leaf::result<void> SaveSnapshot(const replication::snapshot& saved);

  // Makes everything that was appended durable.
  boost::leaf::result<void> Sync();

  // Whether the store takes calls: it was loaded, and no write or sync of the log has failed since.
  bool IsUsable() const { return usable_; }

  // The number of fdatasync calls for the log since the store was created.
  std::uint64_t sync_count() const { return sync_count_; }

  // The bytes that may still be written to the file system; empty if it doesn't tell.
  std::optional<std::uint64_t> FreeBytes() const { return files_.FreeBytes(folder_); }

 private:
  using file = internal::file<Calls>;

  struct segment {
    std::filesystem::path path;
    std::uint64_t number = 0;
    // The largest index of all entries that were ever written to the segment.
    kernel::log_index highest_index;
  };

  // The end of what was made durable: a place in the files and the content up to it.
  struct durable_end {
    std::uint64_t segment_number = 0;
    std::uint64_t segment_bytes = 0;
    replication::durable_state state;
    log_position last_entry;
  };

  // Loading.
  boost::leaf::result<void> LockFolder();
  boost::leaf::result<void> CreateIdentity(bool bootstrap);
  // Whether the folder has an identity that was created for it. Fails if the identity is damaged.
  boost::leaf::result<bool> LoadIdentity();
  boost::leaf::result<bool> WasInitialized() const;
  boost::leaf::result<void> ListSegments();
  boost::leaf::result<void> LoadContent();
  // Whether the segments were written for the identity of this folder.
  boost::leaf::result<bool> LoadSegments();
  boost::leaf::result<bool> LoadSegment(std::size_t position);
  boost::leaf::result<bool> LoadSegmentHeader(std::string_view payload, std::size_t position);
  boost::leaf::result<void> CutTornTail(std::size_t position, std::uint64_t offset,
                                        std::uint64_t size);
  boost::leaf::result<void> ReplayRecord(const internal::log_record& replayed, segment& source,
                                         std::uint64_t offset);
  boost::leaf::result<void> ReconcileWithSnapshot();

  // Recovery after a failed call.
  boost::leaf::result<void> LoadPromised(const std::optional<durable_end>& promised);
  boost::leaf::result<void> Repair(const durable_end& promised);
  bool Contains(const durable_end& promised) const;

  // Writing.
  boost::leaf::result<void> StartSegment(bool reset, kernel::log_index index, kernel::term term);
  boost::leaf::result<void> WriteRecord(const internal::log_record& written);
  boost::leaf::result<void> SyncLog();
  boost::leaf::result<void> WriteSnapshot(const replication::snapshot& saved);
  boost::leaf::result<void> ReplaceLogBySnapshot(const replication::snapshot& saved);
  boost::leaf::result<void> RemoveFirstSegment();
  bool HasPosition(kernel::log_index index, kernel::term term) const;
  kernel::log_index last_index() const;
  kernel::term last_term() const;
  void AdvanceBase(kernel::log_index index, kernel::term term);
  void MarkDurable();
  // Makes the store unusable if write_result is an error; returns write_result.
  boost::leaf::result<void> MarkFailedOnError(boost::leaf::result<void> write_result);
  boost::leaf::result<void> CheckUsable() const;

  std::filesystem::path folder_;
  store_options options_;
  internal::file_system<Calls> files_;
  file lock_file_;
  file active_segment_;
  std::vector<segment> segments_;
  recovered_state recovered_;
  replication::durable_state state_;
  // The terms of the entries after base_index_, for comparison with snapshots.
  kernel::log_index base_index_;
  kernel::term base_term_;
  std::deque<kernel::term> terms_;
  // What this host may have promised to hold. Empty until the folder has been loaded once.
  std::optional<durable_end> durable_;
  // The snapshot that is replacing the whole log.
  std::optional<log_position> replacing_;
  bool usable_ = false;
  std::uint64_t sync_count_ = 0;
};

extern template class basic_log_store<posix_calls>;

using log_store = basic_log_store<posix_calls>;

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_LOG_STORE_H_
