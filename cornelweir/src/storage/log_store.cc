#include "cornelweir/src/storage/log_store.h"

#include <algorithm>
#include <string_view>
#include <system_error>

#include "cornelweir/src/storage/identity_file.h"
#include "cornelweir/src/storage/limits.h"
#include "cornelweir/src/storage/record_codec.h"
#include "cornelweir/src/storage/segment_name.h"
#include "cornelweir/src/storage/snapshot_file.h"

namespace cornelweir::storage {
namespace {

constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kSnapshotName = "snapshot";
constexpr std::string_view kLockName = "lock";
constexpr std::string_view kReplacedSuffix = ".replaced";

std::filesystem::path WithSuffix(const std::filesystem::path& path, std::string_view suffix) {
  std::filesystem::path suffixed = path;
  suffixed += suffix;
  return suffixed;
}

}  // namespace

using internal::DecodeRecord;
using internal::EncodeRecord;
using internal::Exists;
using internal::MakeError;

// ---- Identity.

boost::leaf::result<std::shared_ptr<log_store>> log_store::OpenLocked(
    const std::filesystem::path& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) return internal::SystemError(folder, 0, error.value());
  const std::filesystem::path parent = std::filesystem::absolute(folder).parent_path();
  BOOST_LEAF_CHECK(internal::SyncFolder(parent));
  std::shared_ptr<log_store> store(new log_store(folder));
  BOOST_LEAF_ASSIGN(store->lock_file_, internal::file::OpenForAppend(folder / kLockName));
  BOOST_LEAF_CHECK(store->lock_file_.Lock());
  return store;
}

boost::leaf::result<void> log_store::Bootstrap(const std::filesystem::path& folder) {
  BOOST_LEAF_AUTO(store, OpenLocked(folder));
  BOOST_LEAF_AUTO(initialized, Exists(folder / kIdentityName));
  if (initialized) return MakeError(storage_fault::kAlreadyInitialized, folder / kIdentityName);
  return store->CreateIdentity(/*bootstrap=*/true);
}

// Renames the identity, the snapshot and the segments to *.replaced and starts an empty log. The
// new identity is written last, so that a folder with an identity always has a segment; if it has
// none, its segments were lost.
boost::leaf::result<void> log_store::CreateIdentity(bool bootstrap) {
  BOOST_LEAF_CHECK(ListSegments());
  std::vector<std::filesystem::path> existing_paths{folder_ / kIdentityName,
                                                    folder_ / kSnapshotName};
  for (const segment& listed_segment : segments_) existing_paths.push_back(listed_segment.path);
  for (const std::filesystem::path& path : existing_paths) {
    BOOST_LEAF_AUTO(exists, Exists(path));
    if (!exists) continue;
    BOOST_LEAF_CHECK(internal::Rename(path, WithSuffix(path, kReplacedSuffix)));
    recovered_.set_aside = true;
  }
  BOOST_LEAF_CHECK(internal::SyncFolder(folder_));
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
  recovered_.identity_created = true;
  BOOST_LEAF_CHECK(StartSegment(/*reset=*/true, base_index_, base_term_));
  return internal::WriteIdentityFile(folder_ / kIdentityName, recovered_.disk, bootstrap);
}

boost::leaf::result<bool> log_store::LoadIdentity() {
  BOOST_LEAF_AUTO(identity, internal::ReadIdentityFile(folder_ / kIdentityName));
  if (!identity) return false;
  recovered_.disk = identity->disk;
  recovered_.bootstrap = identity->bootstrap;
  return copy_check_ == copy_check::kNone || identity->is_original;
}

// ---- Reading.

bool log_store::HasIdentity(const std::filesystem::path& folder) {
  std::error_code error;
  return std::filesystem::exists(folder / kIdentityName, error);
}

boost::leaf::result<std::shared_ptr<log_store>> log_store::Open(const std::filesystem::path& folder,
                                                                copy_check check) {
  BOOST_LEAF_AUTO(store, OpenLocked(folder));
  store->copy_check_ = check;
  BOOST_LEAF_CHECK(store->ListSegments());
  BOOST_LEAF_AUTO(has_own_identity, store->LoadIdentity());
  bool belongs = has_own_identity && !store->segments_.empty();
  if (belongs) {
    BOOST_LEAF_ASSIGN(belongs, store->LoadSegments());
  }
  if (!belongs) {
    BOOST_LEAF_CHECK(store->CreateIdentity(/*bootstrap=*/false));
  } else {
    BOOST_LEAF_ASSIGN(store->recovered_.snapshot,
                      internal::ReadSnapshotFile(folder / kSnapshotName, store->recovered_.disk));
    BOOST_LEAF_CHECK(store->ReconcileWithSnapshot());
  }
  store->recovered_.state = store->state_;
  return store;
}

recovered_state log_store::TakeRecoveredState() {
  recovered_state loaded = std::move(recovered_);
  recovered_ = recovered_state();
  recovered_.disk = loaded.disk;
  return loaded;
}

boost::leaf::result<void> log_store::ListSegments() {
  segments_.clear();
  std::error_code error;
  std::filesystem::directory_iterator files(folder_, error);
  for (; !error && files != std::filesystem::directory_iterator(); files.increment(error)) {
    const auto number = internal::SegmentNumber(files->path().filename().string());
    if (number) segments_.push_back(segment{files->path(), *number, {}});
  }
  if (error) return internal::SystemError(folder_, 0, error.value());
  std::sort(segments_.begin(), segments_.end(),
            [](const segment& left, const segment& right) { return left.number < right.number; });
  return {};
}

boost::leaf::result<bool> log_store::LoadSegments() {
  for (std::size_t position = 0; position < segments_.size(); ++position) {
    if (position > 0 && segments_[position].number != segments_[position - 1].number + 1) {
      return MakeError(storage_fault::kInconsistent, segments_[position].path);
    }
    BOOST_LEAF_AUTO(belongs, LoadSegment(position));
    if (!belongs) return false;
  }
  if (segments_.empty()) return false;
  BOOST_LEAF_ASSIGN(active_segment_, internal::file::OpenForAppend(segments_.back().path));
  return true;
}

boost::leaf::result<bool> log_store::LoadSegment(std::size_t position) {
  segment& loaded = segments_[position];
  const bool is_last_segment = position + 1 == segments_.size();
  BOOST_LEAF_AUTO(content, internal::ReadFile(loaded.path));
  std::size_t offset = 0;
  while (true) {
    const internal::parsed_record record = internal::ReadRecord(content, offset);
    const bool empty = offset == 0 && record.state == internal::record_state::kEnd;
    if (record.state == internal::record_state::kEnd && !empty) return true;
    if (record.state != internal::record_state::kComplete) {
      if (!is_last_segment || record.state == internal::record_state::kDamaged) {
        return MakeError(storage_fault::kDamaged, loaded.path, offset);
      }
      recovered_.torn_bytes = content.size() - offset;
      recovered_.torn_file = loaded.path.string();
      if (offset == 0) {
        // The process ended while it created the segment; no entry was written to it.
        BOOST_LEAF_CHECK(internal::Remove(loaded.path));
        BOOST_LEAF_CHECK(internal::SyncFolder(folder_));
        segments_.pop_back();
      } else {
        BOOST_LEAF_CHECK(internal::TruncateFile(loaded.path, offset));
      }
      return true;
    }
    if (offset == 0) {
      BOOST_LEAF_AUTO(header,
                      DecodeRecord<internal::segment_header>(record.payload, loaded.path, offset));
      if (header.version > kFormatVersion || header.number != loaded.number) {
        return MakeError(storage_fault::kInconsistent, loaded.path);
      }
      BOOST_LEAF_AUTO(file, internal::file::OpenForAppend(loaded.path));
      BOOST_LEAF_AUTO(actual, file.Identity());
      const bool is_same_file =
          copy_check_ == copy_check::kNone || internal::IsSameFile(header.file, actual);
      if (header.disk != recovered_.disk || !is_same_file) {
        return false;
      }
      state_ = header.state;
      if (position == 0 || header.reset) {
        terms_.clear();
        base_index_ = header.last_index;
        base_term_ = header.last_term;
        recovered_.entries.clear();
      }
    } else {
      BOOST_LEAF_AUTO(replayed,
                      DecodeRecord<internal::log_record>(record.payload, loaded.path, offset));
      BOOST_LEAF_CHECK(ReplayRecord(replayed, loaded, offset));
    }
    offset += internal::kRecordHeaderBytes + record.payload.size();
  }
}

boost::leaf::result<void> log_store::ReplayRecord(const internal::log_record& replayed,
                                                  segment& source, std::uint64_t offset) {
  if (replayed.state) state_ = *replayed.state;
  if (replayed.entries.empty()) return {};
  const kernel::log_index first_index = replayed.entries.front().index;
  if (first_index == kernel::log_index() || first_index > Next(last_index())) {
    return MakeError(storage_fault::kInconsistent, source.path, offset);
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
      return MakeError(storage_fault::kInconsistent, source.path, offset);
    }
    terms_.push_back(entry.term);
    recovered_.entries.push_back(entry);
    source.highest_index = std::max(source.highest_index, entry.index);
  }
  return {};
}

boost::leaf::result<void> log_store::ReconcileWithSnapshot() {
  if (!recovered_.snapshot) {
    if (base_index_ == kernel::log_index()) return {};
    return MakeError(storage_fault::kInconsistent, segments_.front().path);
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
  if (index < base_index_) return MakeError(storage_fault::kInconsistent, segments_.front().path);
  // The process ended after it stored the snapshot and before it reset the log.
  recovered_.entries.clear();
  return StartSegment(/*reset=*/true, index, term);
}

// ---- Writing.

boost::leaf::result<void> log_store::StartSegment(bool reset, kernel::log_index index,
                                                  kernel::term term) {
  if (active_segment_.is_open()) {
    ++sync_count_;
    BOOST_LEAF_CHECK(active_segment_.Sync());
  }
  segment started;
  started.number = segments_.empty() ? 1 : segments_.back().number + 1;
  started.path = folder_ / internal::SegmentName(started.number);
  BOOST_LEAF_AUTO(file, internal::file::Create(started.path));
  internal::segment_header header{kFormatVersion, recovered_.disk, started.number, {},
                                  state_,         reset,           index,          term};
  BOOST_LEAF_ASSIGN(header.file, file.Identity());
  BOOST_LEAF_AUTO(record, EncodeRecord(header, started.path));
  BOOST_LEAF_CHECK(file.Append(record));
  ++sync_count_;
  BOOST_LEAF_CHECK(file.Sync());
  BOOST_LEAF_CHECK(internal::SyncFolder(folder_));
  active_segment_ = std::move(file);
  segments_.push_back(std::move(started));
  if (reset) {
    terms_.clear();
    base_index_ = index;
    base_term_ = term;
  }
  return {};
}

boost::leaf::result<void> log_store::WriteRecord(const internal::log_record& written) {
  if (active_segment_.size() >= kSegmentBytes) {
    BOOST_LEAF_CHECK(StartSegment(/*reset=*/false, last_index(), last_term()));
  }
  BOOST_LEAF_AUTO(record, EncodeRecord(written, active_segment_.path()));
  BOOST_LEAF_CHECK(active_segment_.Append(record));
  if (written.state) state_ = *written.state;
  if (written.entries.empty()) return {};
  terms_.resize(written.entries.front().index.value() - base_index_.value() - 1);
  for (const replication::log_entry& entry : written.entries) terms_.push_back(entry.term);
  segments_.back().highest_index = std::max(segments_.back().highest_index, last_index());
  return {};
}

boost::leaf::result<void> log_store::Append(const std::optional<replication::durable_state>& state,
                                            const std::vector<replication::log_entry>& entries) {
  BOOST_LEAF_CHECK(CheckUsable());
  if (!state && entries.empty()) return {};
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const bool is_contiguous =
        i == 0 ? entries[i].index > base_index_ && entries[i].index <= Next(last_index())
               : entries[i].index == Next(entries[i - 1].index);
    if (!is_contiguous) {
      return MakeError(storage_fault::kInconsistent, active_segment_.path(),
                       active_segment_.size());
    }
  }
  internal::log_record pending{state, {}};
  std::size_t bytes = 0;
  for (const replication::log_entry& entry : entries) {
    bytes += replication::MaxEncodedBytes(entry);
    if (!pending.entries.empty() &&
        (bytes > kRecordSplitBytes || pending.entries.size() >= kRecordSplitEntries)) {
      BOOST_LEAF_CHECK(MarkFailedOnError(WriteRecord(pending)));
      pending = internal::log_record();
      bytes = replication::MaxEncodedBytes(entry);
    }
    pending.entries.push_back(entry);
  }
  return MarkFailedOnError(WriteRecord(pending));
}

boost::leaf::result<void> log_store::Sync() {
  BOOST_LEAF_CHECK(CheckUsable());
  ++sync_count_;
  return MarkFailedOnError(active_segment_.Sync());
}

boost::leaf::result<void> log_store::SaveSnapshot(const replication::snapshot& saved) {
  BOOST_LEAF_CHECK(CheckUsable());
  if (saved.data.bytes.size() > kMaxSnapshotBytes) {
    return MakeError(storage_fault::kTooLarge, folder_ / kSnapshotName);
  }
  if (saved.index < base_index_) return {};
  BOOST_LEAF_CHECK(MarkFailedOnError(
      internal::WriteSnapshotFile(folder_ / kSnapshotName, recovered_.disk, saved)));
  if (HasPosition(saved.index, saved.term)) {
    AdvanceBase(saved.index, saved.term);
  } else {
    BOOST_LEAF_CHECK(MarkFailedOnError(StartSegment(/*reset=*/true, saved.index, saved.term)));
    while (segments_.size() > 1) {
      BOOST_LEAF_CHECK(MarkFailedOnError(RemoveFirstSegment()));
    }
  }
  while (segments_.size() > 1 && segments_.front().highest_index <= saved.index) {
    BOOST_LEAF_CHECK(MarkFailedOnError(RemoveFirstSegment()));
  }
  return {};
}

// Removes the oldest segment. Syncs the folder after each removal, so that a crash can't leave a
// gap between segments.
boost::leaf::result<void> log_store::RemoveFirstSegment() {
  BOOST_LEAF_CHECK(internal::Remove(segments_.front().path));
  segments_.erase(segments_.begin());
  return internal::SyncFolder(folder_);
}

bool log_store::HasPosition(kernel::log_index index, kernel::term term) const {
  if (index == base_index_) return term == base_term_;
  if (index < base_index_ || index > last_index()) return false;
  return terms_[index.value() - base_index_.value() - 1] == term;
}

kernel::log_index log_store::last_index() const {
  return kernel::log_index(base_index_.value() + terms_.size());
}

kernel::term log_store::last_term() const { return terms_.empty() ? base_term_ : terms_.back(); }

void log_store::AdvanceBase(kernel::log_index index, kernel::term term) {
  terms_.erase(terms_.begin(),
               terms_.begin() + static_cast<std::ptrdiff_t>(index.value() - base_index_.value()));
  base_index_ = index;
  base_term_ = term;
}

// After a failed write or sync the content of the disk is unknown, and another sync may report
// success for data that the operating system has dropped.
boost::leaf::result<void> log_store::MarkFailedOnError(boost::leaf::result<void> write_result) {
  if (!write_result) failed_ = true;
  return write_result;
}

boost::leaf::result<void> log_store::CheckUsable() const {
  if (failed_) return MakeError(storage_fault::kFailed, folder_);
  return {};
}

}  // namespace cornelweir::storage
