#ifndef CORNELWEIR_SRC_STORAGE_LOG_STORE_WRITE_H_
#define CORNELWEIR_SRC_STORAGE_LOG_STORE_WRITE_H_

// How a store writes the log and the snapshot.

#include <algorithm>
#include <cstddef>

#include "cornelweir/src/storage/limits.h"
#include "cornelweir/src/storage/log_store.h"
#include "cornelweir/src/storage/log_store_load.h"
#include "cornelweir/src/storage/record_codec.h"
#include "cornelweir/src/storage/segment_name.h"
#include "cornelweir/src/storage/snapshot_file.h"

namespace cornelweir::storage {

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::StartSegment(bool reset, kernel::log_index index,
                                                               kernel::term term) {
  if (active_segment_.is_open()) {
    BOOST_LEAF_CHECK(SyncLog());
  }
  segment started;
  started.number = segments_.empty() ? 1 : segments_.back().number + 1;
  started.path = folder_ / internal::SegmentName(started.number);
  BOOST_LEAF_AUTO(created, files_.Create(started.path));
  internal::segment_header header{kFormatVersion, recovered_.disk, started.number, {},
                                  state_,         reset,           index,          term};
  BOOST_LEAF_ASSIGN(header.file, created.Identity());
  BOOST_LEAF_AUTO(record, internal::EncodeRecord(header, started.path));
  BOOST_LEAF_CHECK(created.Append(record));
  active_segment_ = std::move(created);
  BOOST_LEAF_CHECK(SyncLog());
  BOOST_LEAF_CHECK(files_.SyncFolder(folder_));
  segments_.push_back(std::move(started));
  if (reset) {
    terms_.clear();
    base_index_ = index;
    base_term_ = term;
  }
  MarkDurable();
  return {};
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::WriteRecord(const internal::log_record& written) {
  if (active_segment_.size() >= options_.segment_bytes) {
    BOOST_LEAF_CHECK(StartSegment(/*reset=*/false, last_index(), last_term()));
  }
  BOOST_LEAF_AUTO(record, internal::EncodeRecord(written, active_segment_.path()));
  BOOST_LEAF_CHECK(active_segment_.Append(record));
  if (written.state) state_ = *written.state;
  if (written.entries.empty()) return {};
  terms_.resize(written.entries.front().index.value() - base_index_.value() - 1);
  for (const replication::log_entry& entry : written.entries) terms_.push_back(entry.term);
  segments_.back().highest_index = std::max(segments_.back().highest_index, last_index());
  return {};
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::Append(
    const std::optional<replication::durable_state>& state,
    const std::vector<replication::log_entry>& entries) {
  BOOST_LEAF_CHECK(CheckUsable());
  if (!state && entries.empty()) return {};
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const bool is_contiguous =
        i == 0 ? entries[i].index > base_index_ && entries[i].index <= Next(last_index())
               : entries[i].index == Next(entries[i - 1].index);
    if (!is_contiguous) {
      return internal::MakeError(storage_fault::kInconsistent, active_segment_.path(),
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

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::SyncLog() {
  ++sync_count_;
  return active_segment_.Sync();
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::Sync() {
  BOOST_LEAF_CHECK(CheckUsable());
  BOOST_LEAF_CHECK(MarkFailedOnError(SyncLog()));
  MarkDurable();
  return {};
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::SaveSnapshot(const replication::snapshot& saved) {
  BOOST_LEAF_CHECK(CheckUsable());
  if (saved.data.bytes.size() > kMaxSnapshotBytes) {
    return internal::MakeError(storage_fault::kTooLarge, folder_ / internal::kSnapshotName);
  }
  if (saved.index < base_index_) return {};
  BOOST_LEAF_CHECK(WriteSnapshot(saved));
  return MarkFailedOnError(ReplaceLogBySnapshot(saved));
}

// Gives the room of a snapshot that could not be written back to the log.
template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::WriteSnapshot(
    const replication::snapshot& saved) {
  const std::filesystem::path path = folder_ / internal::kSnapshotName;
  boost::leaf::result<void> written =
      internal::WriteTemporarySnapshot(files_, path, recovered_.disk, saved);
  if (!written) static_cast<void>(files_.Remove(internal::TemporaryPath(path)));
  return written;
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::ReplaceLogBySnapshot(
    const replication::snapshot& saved) {
  const bool is_in_log = HasPosition(saved.index, saved.term);
  if (!is_in_log) replacing_ = log_position{saved.index, saved.term};
  BOOST_LEAF_CHECK(internal::PublishSnapshot(files_, folder_ / internal::kSnapshotName));
  if (is_in_log) {
    AdvanceBase(saved.index, saved.term);
  } else {
    BOOST_LEAF_CHECK(StartSegment(/*reset=*/true, saved.index, saved.term));
    while (segments_.size() > 1) BOOST_LEAF_CHECK(RemoveFirstSegment());
  }
  while (segments_.size() > 1 && segments_.front().highest_index <= saved.index) {
    BOOST_LEAF_CHECK(RemoveFirstSegment());
  }
  replacing_.reset();
  return {};
}

// Removes the oldest segment. Syncs the folder after each removal, so that a crash can't leave a
// gap between segments.
template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::RemoveFirstSegment() {
  BOOST_LEAF_CHECK(files_.Remove(segments_.front().path));
  segments_.erase(segments_.begin());
  return files_.SyncFolder(folder_);
}

template <file_calls Calls>
bool basic_log_store<Calls>::HasPosition(kernel::log_index index, kernel::term term) const {
  if (index == base_index_) return term == base_term_;
  if (index < base_index_ || index > last_index()) return false;
  return terms_[index.value() - base_index_.value() - 1] == term;
}

template <file_calls Calls>
kernel::log_index basic_log_store<Calls>::last_index() const {
  return kernel::log_index{base_index_.value() + terms_.size()};
}

template <file_calls Calls>
kernel::term basic_log_store<Calls>::last_term() const {
  return terms_.empty() ? base_term_ : terms_.back();
}

template <file_calls Calls>
void basic_log_store<Calls>::AdvanceBase(kernel::log_index index, kernel::term term) {
  terms_.erase(terms_.begin(),
               terms_.begin() + static_cast<std::ptrdiff_t>(index.value() - base_index_.value()));
  base_index_ = index;
  base_term_ = term;
}

// Everything that was written is durable now.
template <file_calls Calls>
void basic_log_store<Calls>::MarkDurable() {
  durable_ = durable_end{segments_.back().number, active_segment_.size(), state_,
                         log_position{last_index(), last_term()}};
}

// After a failed write or sync the content of the disk is unknown, and another sync may report
// success for data that the operating system has dropped.
template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::MarkFailedOnError(
    boost::leaf::result<void> write_result) {
  if (!write_result) usable_ = false;
  return write_result;
}

template <file_calls Calls>
boost::leaf::result<void> basic_log_store<Calls>::CheckUsable() const {
  if (!usable_) return internal::MakeError(storage_fault::kFailed, folder_);
  return {};
}

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_LOG_STORE_WRITE_H_
