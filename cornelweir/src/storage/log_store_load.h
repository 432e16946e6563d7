#ifndef CORNELWEIR_SRC_STORAGE_LOG_STORE_LOAD_H_
#define CORNELWEIR_SRC_STORAGE_LOG_STORE_LOAD_H_

// How a store reads its folder, for the first time and after a failure.

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

#include "cornelweir/src/storage/identity_file.h"
#include "cornelweir/src/storage/limits.h"
#include "cornelweir/src/storage/log_store.h"
#include "cornelweir/src/storage/record_codec.h"
#include "cornelweir/src/storage/segment_name.h"
#include "cornelweir/src/storage/snapshot_file.h"

namespace cornelweir::storage {
namespace internal {

inline constexpr std::string_view kIdentityName = "identity";
inline constexpr std::string_view kSnapshotName = "snapshot";
inline constexpr std::string_view kLockName = "lock";
inline constexpr std::string_view kReplacedSuffix = ".replaced";

inline std::filesystem::path WithSuffix(const std::filesystem::path& path,
                                        std::string_view suffix) {
  std::filesystem::path suffixed = path;
  suffixed += suffix;
  return suffixed;
}

}  // namespace internal

// ---- Identity.

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::LockFolder() {
  if (lock_file_.is_open()) return {};
  BOOST_LEAF_CHECK(files_.CreateFolders(folder_));
  BOOST_LEAF_CHECK(files_.SyncFolder(std::filesystem::absolute(folder_).parent_path()));
  BOOST_LEAF_AUTO(opened, files_.OpenForAppend(folder_ / internal::kLockName));
  BOOST_LEAF_CHECK(opened.Lock());
  lock_file_ = std::move(opened);
  return {};
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::Bootstrap(const std::filesystem::path& folder,
                                                            Calls calls) {
  basic_log_store store(folder, {.check = copy_check::kNone, .bootstrap = true}, calls);
  BOOST_LEAF_CHECK(store.LockFolder());
  BOOST_LEAF_AUTO(initialized, store.WasInitialized());
  if (initialized) {
    return internal::MakeError(storage_fault::kAlreadyInitialized,
                               folder / internal::kIdentityName);
  }
  return store.CreateIdentity(/*bootstrap=*/true);
}

// Renames the identity, the snapshot and the segments to *.replaced and starts an empty log. The
// new identity is written last, so that a folder with an identity always has a segment; if it has
// none, its segments were lost.
template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::CreateIdentity(bool bootstrap) {
  BOOST_LEAF_CHECK(ListSegments());
  active_segment_ = file();
  std::vector<std::filesystem::path> existing_paths{folder_ / internal::kIdentityName,
                                                    folder_ / internal::kSnapshotName};
  for (const segment& listed_segment : segments_) existing_paths.push_back(listed_segment.path);
  for (const std::filesystem::path& path : existing_paths) {
    BOOST_LEAF_AUTO(exists, files_.Exists(path));
    if (!exists) continue;
    BOOST_LEAF_CHECK(files_.Rename(path, internal::WithSuffix(path, internal::kReplacedSuffix)));
    recovered_.set_aside = true;
  }
  BOOST_LEAF_CHECK(files_.SyncFolder(folder_));
  segments_.clear();
  terms_.clear();
  base_index_ = kernel::log_index();
  base_term_ = kernel::term();
  state_ = replication::durable_state();
  recovered_.snapshot.reset();
  recovered_.entries.clear();
  recovered_.torn_bytes = 0;
  recovered_.torn_file.clear();
  recovered_.disk = internal::RandomDiskId();
  recovered_.bootstrap = bootstrap;
  recovered_.initial_voters.clear();
  if (bootstrap) recovered_.initial_voters = options_.initial_voters;
  recovered_.identity_created = true;
  BOOST_LEAF_CHECK(StartSegment(/*reset=*/true, base_index_, base_term_));
  return internal::WriteIdentityFile(files_, folder_ / internal::kIdentityName,
                                     {recovered_.disk, bootstrap, recovered_.initial_voters, true});
}

template <file_calls Calls>
boost::leaf::result<bool> basic_log_store<Calls>::LoadIdentity() {
  BOOST_LEAF_AUTO(identity, internal::ReadIdentityFile(files_, folder_ / internal::kIdentityName));
  if (!identity) return false;
  recovered_.disk = identity->disk;
  recovered_.bootstrap = identity->bootstrap;
  recovered_.initial_voters = identity->initial_voters;
  return options_.check == copy_check::kNone || identity->is_original;
}

// Whether the folder has, or had, an identity. A host whose data was set aside has lost its votes,
// so it must not found a group a second time.
template <file_calls Calls>
boost::leaf::result<bool> basic_log_store<Calls>::WasInitialized() const {
  const std::filesystem::path identity = folder_ / internal::kIdentityName;
  BOOST_LEAF_AUTO(exists, files_.Exists(identity));
  BOOST_LEAF_AUTO(existed,
                  files_.Exists(internal::WithSuffix(identity, internal::kReplacedSuffix)));
  return exists || existed;
}

// ---- Reading.

template <file_calls Calls>
boost::leaf::result<std::shared_ptr<basic_log_store<Calls>>> basic_log_store<Calls>::Open(
    const std::filesystem::path& folder, copy_check check, Calls calls) {
  auto store = std::make_shared<basic_log_store>(folder, store_options{.check = check}, calls);
  BOOST_LEAF_CHECK(store->Load());
  return store;
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::Load() {
  usable_ = false;
  // Loading may start a segment, which marks a new durable end.
  const std::optional<durable_end> promised = durable_;
  auto loaded = LoadPromised(promised);
  if (!loaded) {
    durable_ = promised;
    return loaded;
  }
  recovered_.state = state_;
  replacing_.reset();
  MarkDurable();
  usable_ = true;
  return {};
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::LoadPromised(
    const std::optional<durable_end>& promised) {
  BOOST_LEAF_CHECK(LockFolder());
  if (promised) {
    BOOST_LEAF_CHECK(Repair(*promised));
  }
  BOOST_LEAF_CHECK(LoadContent());
  if (!promised || Contains(*promised)) return {};
  // Other hosts count on what is missing, so this host must not vote or acknowledge entries under
  // its identity any more.
  return CreateIdentity(/*bootstrap=*/false);
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::LoadContent() {
  recovered_ = recovered_state();
  state_ = replication::durable_state();
  terms_.clear();
  base_index_ = kernel::log_index();
  base_term_ = kernel::term();
  active_segment_ = file();
  BOOST_LEAF_CHECK(ListSegments());
  BOOST_LEAF_AUTO(has_own_identity, LoadIdentity());
  bool belongs = has_own_identity && !segments_.empty();
  if (belongs) {
    BOOST_LEAF_ASSIGN(belongs, LoadSegments());
  }
  if (!belongs) {
    BOOST_LEAF_AUTO(was_initialized, WasInitialized());
    return CreateIdentity(options_.bootstrap && !was_initialized);
  }
  // An earlier process may have ended before or after a sync that failed. What was read, and the
  // names of the files, count as durable from here on. Earlier segments were synced before this one
  // was started.
  if (!durable_) {
    BOOST_LEAF_CHECK(files_.RewriteDurably(segments_.back().path));
    BOOST_LEAF_CHECK(files_.SyncFolder(folder_));
  }
  BOOST_LEAF_ASSIGN(
      recovered_.snapshot,
      internal::ReadSnapshotFile(files_, folder_ / internal::kSnapshotName, recovered_.disk));
  return ReconcileWithSnapshot();
}

template <file_calls Calls>
recovered_state basic_log_store<Calls>::TakeRecoveredState() {
  recovered_state loaded = std::move(recovered_);
  recovered_ = recovered_state();
  recovered_.disk = loaded.disk;
  return loaded;
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::ListSegments() {
  segments_.clear();
  BOOST_LEAF_AUTO(names, files_.List(folder_));
  for (const std::string& name : names) {
    const auto number = internal::SegmentNumber(name);
    if (number) segments_.push_back(segment{folder_ / name, *number, {}});
  }
  std::sort(segments_.begin(), segments_.end(),
            [](const segment& left, const segment& right) { return left.number < right.number; });
  return {};
}

template <file_calls Calls>
boost::leaf::result<bool> basic_log_store<Calls>::LoadSegments() {
  for (std::size_t position = 0; position < segments_.size(); ++position) {
    if (position > 0 && segments_[position].number != segments_[position - 1].number + 1) {
      return internal::MakeError(storage_fault::kInconsistent, segments_[position].path);
    }
    BOOST_LEAF_AUTO(belongs, LoadSegment(position));
    if (!belongs) return false;
  }
  if (segments_.empty()) return false;
  BOOST_LEAF_ASSIGN(active_segment_, files_.OpenForAppend(segments_.back().path));
  return true;
}

template <file_calls Calls>
boost::leaf::result<bool> basic_log_store<Calls>::LoadSegment(std::size_t position) {
  const std::filesystem::path path = segments_[position].path;
  BOOST_LEAF_AUTO(content, files_.ReadFile(path));
  std::size_t offset = 0;
  while (true) {
    const internal::parsed_record record = internal::ReadRecord(content, offset);
    const bool is_empty = offset == 0 && record.state == internal::record_state::kEnd;
    if (record.state == internal::record_state::kEnd && !is_empty) return true;
    if (record.state != internal::record_state::kComplete) {
      const bool is_last_segment = position + 1 == segments_.size();
      if (!is_last_segment || record.state == internal::record_state::kDamaged) {
        return internal::MakeError(storage_fault::kDamaged, path, offset);
      }
      BOOST_LEAF_CHECK(CutTornTail(position, offset, content.size()));
      return true;
    }
    if (offset == 0) {
      BOOST_LEAF_AUTO(belongs, LoadSegmentHeader(record.payload, position));
      if (!belongs) return false;
    } else {
      BOOST_LEAF_AUTO(replayed,
                      internal::DecodeRecord<internal::log_record>(record.payload, path, offset));
      BOOST_LEAF_CHECK(ReplayRecord(replayed, segments_[position], offset));
    }
    offset += internal::kRecordHeaderBytes + record.payload.size();
  }
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::CutTornTail(std::size_t position,
                                                              std::uint64_t offset,
                                                              std::uint64_t size) {
  const std::filesystem::path path = segments_[position].path;
  recovered_.torn_bytes = size - offset;
  recovered_.torn_file = path.string();
  if (offset == 0) {
    // The process ended while it created the segment; no entry was written to it.
    BOOST_LEAF_CHECK(files_.Remove(path));
    BOOST_LEAF_CHECK(files_.SyncFolder(folder_));
    segments_.pop_back();
    return {};
  }
  BOOST_LEAF_AUTO(torn, files_.OpenForAppend(path));
  return torn.Truncate(offset);
}

template <file_calls Calls>
boost::leaf::result<bool> basic_log_store<Calls>::LoadSegmentHeader(std::string_view payload,
                                                                    std::size_t position) {
  const segment& loaded = segments_[position];
  BOOST_LEAF_AUTO(header,
                  internal::DecodeRecord<internal::segment_header>(payload, loaded.path, 0));
  if (header.version > kFormatVersion || header.number != loaded.number) {
    return internal::MakeError(storage_fault::kInconsistent, loaded.path);
  }
  BOOST_LEAF_AUTO(opened, files_.OpenForAppend(loaded.path));
  BOOST_LEAF_AUTO(actual, opened.Identity());
  const bool is_same_file = options_.check == copy_check::kNone || IsSameFile(header.file, actual);
  if (header.disk != recovered_.disk || !is_same_file) return false;
  state_ = header.state;
  if (position == 0 || header.reset) {
    terms_.clear();
    base_index_ = header.last_index;
    base_term_ = header.last_term;
    recovered_.entries.clear();
  }
  return true;
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::ReplayRecord(const internal::log_record& replayed,
                                                               segment& source,
                                                               std::uint64_t offset) {
  if (replayed.state) state_ = *replayed.state;
  if (replayed.entries.empty()) return {};
  const kernel::log_index first_index = replayed.entries.front().index;
  if (first_index == kernel::log_index() || first_index > Next(last_index())) {
    return internal::MakeError(storage_fault::kInconsistent, source.path, offset);
  }
  if (first_index <= base_index_) {
    // The record replaces entries of a segment that has been removed since.
    base_index_ = kernel::log_index(first_index.value() - 1);
    base_term_ = kernel::term();
    terms_.clear();
    recovered_.entries.clear();
  }
  const std::size_t kept_entries = first_index.value() - base_index_.value() - 1;
  terms_.resize(kept_entries);
  recovered_.entries.resize(kept_entries);
  for (const replication::log_entry& entry : replayed.entries) {
    if (entry.index != Next(last_index())) {
      return internal::MakeError(storage_fault::kInconsistent, source.path, offset);
    }
    terms_.push_back(entry.term);
    recovered_.entries.push_back(entry);
    source.highest_index = std::max(source.highest_index, entry.index);
  }
  return {};
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::ReconcileWithSnapshot() {
  if (!recovered_.snapshot) {
    if (base_index_ == kernel::log_index()) return {};
    return internal::MakeError(storage_fault::kInconsistent, segments_.front().path);
  }
  const kernel::log_index index = recovered_.snapshot->index;
  const kernel::term term = recovered_.snapshot->term;
  if (HasPosition(index, term)) {
    const std::size_t covered = index.value() - base_index_.value();
    recovered_.entries.erase(recovered_.entries.begin(),
                             recovered_.entries.begin() + static_cast<std::ptrdiff_t>(covered));
    AdvanceBase(index, term);
    return {};
  }
  if (index < base_index_) {
    return internal::MakeError(storage_fault::kInconsistent, segments_.front().path);
  }
  // The process ended after it stored the snapshot and before it reset the log.
  recovered_.entries.clear();
  return StartSegment(/*reset=*/true, index, term);
}

// ---- Recovery after a failed call.

// Brings the files back to the end of what was durable. A sync that failed may have dropped the
// bytes it was to write while reads still return them, so nothing after that end may be believed,
// whatever a read returns. The record that is written last proves that the disk takes data again.
template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::Repair(const durable_end& promised) {
  active_segment_ = file();
  BOOST_LEAF_CHECK(ListSegments());
  while (!segments_.empty() && segments_.back().number > promised.segment_number) {
    BOOST_LEAF_CHECK(files_.Remove(segments_.back().path));
    segments_.pop_back();
  }
  BOOST_LEAF_CHECK(files_.SyncFolder(folder_));
  const bool has_segment = !segments_.empty() && segments_.back().number == promised.segment_number;
  if (!has_segment) return {};
  BOOST_LEAF_ASSIGN(active_segment_, files_.OpenForAppend(segments_.back().path));
  // Contains() finds a file that is too short.
  if (active_segment_.size() < promised.segment_bytes) return {};
  BOOST_LEAF_CHECK(active_segment_.Truncate(promised.segment_bytes));
  BOOST_LEAF_AUTO(record, internal::EncodeRecord(internal::log_record{promised.state, {}},
                                                 active_segment_.path()));
  BOOST_LEAF_CHECK(active_segment_.Append(record));
  return SyncLog();
}

// Whether what was read contains all that was durable before the failure. A snapshot that was
// replacing the log at the time may have taken the place of its entries.
template <file_calls Calls>
bool basic_log_store<Calls>::Contains(const durable_end& promised) const {
  if (recovered_.identity_created || state_ != promised.state) return false;
  const log_position last_entry{last_index(), last_term()};
  return last_entry == promised.last_entry || (replacing_ && last_entry == *replacing_);
}

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_LOG_STORE_LOAD_H_
