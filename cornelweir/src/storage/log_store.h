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
//   identity            disk id, bootstrap flag
//   snapshot            the latest snapshot
//   log-<number>        segments of the log
//   lock                held while a process uses the folder
//   *.replaced          data of an earlier identity, set aside
// A folder without identity gets a new one, and so does a copy of a folder: a copy is older than
// the original may have become, so it must not speak for it.
class log_store {
 public:
  // How a copy of a data folder is told from the original. By files: their inodes and birth times,
  // which a file system must keep for as long as the file exists. Where it does not, only the
  // identity that the store itself wrote counts, and a copy is not recognized.
  enum class copy_check : std::uint8_t { kByFiles, kNone };

  // Gives a new data folder an identity with the bootstrap flag. Done once by the operator on each
  // host of the initial configuration; fails if the folder has an identity.
  static boost::leaf::result<void> Bootstrap(const std::filesystem::path& folder);

  // Opens a data folder and reads it. Cuts a torn tail; refuses damage elsewhere.
  static boost::leaf::result<std::shared_ptr<log_store>> Open(
      const std::filesystem::path& folder, copy_check check = copy_check::kByFiles);

  // Whether the folder has an identity.
  static bool HasIdentity(const std::filesystem::path& folder);

  // What the folder held when it was opened. Moves it out: to be called once.
  recovered_state Load();

  // Writes a state and entries that replace the log from entries.front().index on. Durable after
  // Sync().
  boost::leaf::result<void> Append(const std::optional<replication::durable_state>& state,
                                   const std::vector<replication::log_entry>& entries);

  // Stores a snapshot durably and removes what it replaces: the log up to its index, or the whole
  // log if that has no entry with the snapshot's index and term.
  boost::leaf::result<void> SaveSnapshot(const replication::snapshot& saved);

  // Makes everything appended before durable.
  boost::leaf::result<void> Sync();

  // Calls to fdatasync for the log since Open().
  std::uint64_t sync_count() const { return sync_count_; }

 private:
  struct segment {
    std::filesystem::path path;
    std::uint64_t number = 0;
    // The largest index of any entry ever written to it.
    kernel::log_index highest;
  };

  explicit log_store(std::filesystem::path folder) : folder_(std::move(folder)) {}

  static boost::leaf::result<std::shared_ptr<log_store>> Lock(const std::filesystem::path& folder);
  boost::leaf::result<void> CreateIdentity(bool bootstrap);
  // Whether there is an intact identity that belongs to this folder.
  boost::leaf::result<bool> LoadIdentity();
  boost::leaf::result<void> ListSegments();
  boost::leaf::result<void> LoadSnapshot();
  // Whether the segments belong to this folder.
  boost::leaf::result<bool> LoadSegments();
  boost::leaf::result<bool> LoadSegment(std::size_t position);
  boost::leaf::result<void> ReplayRecord(const internal::log_record& replayed, segment& from,
                                         std::uint64_t offset);
  boost::leaf::result<void> ReconcileWithSnapshot();
  boost::leaf::result<void> StartSegment(bool reset, kernel::log_index index, kernel::term term);
  boost::leaf::result<void> WriteRecord(const internal::log_record& written);
  boost::leaf::result<void> WriteSnapshot(const replication::snapshot& saved);
  boost::leaf::result<void> RemoveFirstSegment();
  bool HoldsPosition(kernel::log_index index, kernel::term term) const;
  kernel::log_index last_index() const;
  kernel::term last_term() const;
  void MoveBase(kernel::log_index index, kernel::term term);
  // Marks the store as failed unless the outcome is a success.
  boost::leaf::result<void> Settle(boost::leaf::result<void> outcome);
  boost::leaf::result<void> CheckUsable() const;

  std::filesystem::path folder_;
  copy_check check_ = copy_check::kByFiles;
  internal::file lock_;
  internal::file active_;
  std::vector<segment> segments_;
  recovered_state recovered_;
  replication::durable_state state_;
  // The terms of the entries after base_, for comparing with snapshots.
  kernel::log_index base_;
  kernel::term base_term_;
  std::deque<kernel::term> terms_;
  bool failed_ = false;
  std::uint64_t sync_count_ = 0;
};

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_LOG_STORE_H_
