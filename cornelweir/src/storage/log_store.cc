#include "cornelweir/src/storage/log_store.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <random>
#include <string>
#include <string_view>
#include <system_error>

#include "cornelweir/src/codec/cbor.h"
#include "cornelweir/src/storage/limits.h"
#include "cornelweir/src/storage/record.h"
#include "cornelweir/src/storage/storage_error.h"

namespace cornelweir::storage {
namespace {

constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kSnapshotName = "snapshot";
constexpr std::string_view kLockName = "lock";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr std::string_view kReplacedSuffix = ".replaced";
constexpr int kSegmentDigits = 20;

boost::leaf::error_id Fault(storage_fault fault, const std::filesystem::path& path,
                            std::uint64_t offset = 0) {
  return boost::leaf::new_error(storage_error{fault, path.string(), offset, 0});
}

std::string SegmentName(std::uint64_t number) {
  std::string digits = std::to_string(number);
  digits.insert(0, kSegmentDigits - digits.size(), '0');
  return std::string(kSegmentPrefix) + digits;
}

std::optional<std::uint64_t> SegmentNumber(const std::string& name) {
  if (name.size() != kSegmentPrefix.size() + kSegmentDigits || !name.starts_with(kSegmentPrefix)) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* const begin = name.data() + kSegmentPrefix.size();
  const char* const end = name.data() + name.size();
  const auto parsed = std::from_chars(begin, end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

kernel::disk_id RandomDisk() {
  std::random_device device;
  std::uint64_t value = 0;
  while (value == 0) value = (std::uint64_t{device()} << 32U) | device();
  return kernel::disk_id(value);
}

std::filesystem::path Beside(const std::filesystem::path& path, std::string_view suffix) {
  std::filesystem::path beside = path;
  beside += suffix;
  return beside;
}

boost::leaf::result<bool> Exists(const std::filesystem::path& path) {
  std::error_code error;
  const bool found = std::filesystem::exists(path, error);
  if (error) return internal::SystemError(path, 0, error.value());
  return found;
}

// Encodes a value as a record.
template <class T>
boost::leaf::result<std::string> Frame(const T& value, const std::filesystem::path& path) {
  const std::string payload = codec::Encode(value);
  if (payload.size() > kMaxRecordBytes) return Fault(storage_fault::kTooLarge, path);
  return internal::FrameRecord(payload);
}

// Decodes the payload of a record. Its checksum is correct, so a payload that can't be decoded was
// written by other code.
template <class T>
boost::leaf::result<T> DecodeRecord(std::string_view payload, const std::filesystem::path& path,
                                    std::uint64_t offset) {
  boost::leaf::result<T> decoded = codec::Decode<T>(payload);
  if (!decoded) return Fault(storage_fault::kInconsistent, path, offset);
  return std::move(decoded.value());
}

}  // namespace

// ---- Identity.

boost::leaf::result<std::shared_ptr<log_store>> log_store::Lock(
    const std::filesystem::path& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) return internal::SystemError(folder, 0, error.value());
  const std::filesystem::path parent = std::filesystem::absolute(folder).parent_path();
  BOOST_LEAF_CHECK(internal::SyncFolder(parent));
  std::shared_ptr<log_store> locked(new log_store(folder));
  BOOST_LEAF_ASSIGN(locked->lock_, internal::file::OpenForAppend(folder / kLockName));
  BOOST_LEAF_CHECK(locked->lock_.Lock());
  return locked;
}

boost::leaf::result<void> log_store::Bootstrap(const std::filesystem::path& folder) {
  BOOST_LEAF_AUTO(created, Lock(folder));
  BOOST_LEAF_AUTO(initialized, Exists(folder / kIdentityName));
  if (initialized) return Fault(storage_fault::kAlreadyInitialized, folder / kIdentityName);
  return created->CreateIdentity(/*bootstrap=*/true);
}

// Sets everything aside that is in the folder and starts anew. The identity is written last: a
// folder with an identity thus always has a segment, and one without segments has lost them.
boost::leaf::result<void> log_store::CreateIdentity(bool bootstrap) {
  BOOST_LEAF_CHECK(ListSegments());
  std::vector<std::filesystem::path> present{folder_ / kIdentityName, folder_ / kSnapshotName};
  for (const segment& listed : segments_) present.push_back(listed.path);
  for (const std::filesystem::path& path : present) {
    BOOST_LEAF_AUTO(exists, Exists(path));
    if (!exists) continue;
    BOOST_LEAF_CHECK(internal::Rename(path, Beside(path, kReplacedSuffix)));
    recovered_.set_aside = true;
  }
  BOOST_LEAF_CHECK(internal::SyncFolder(folder_));
  segments_.clear();
  terms_.clear();
  base_ = kernel::log_index();
  base_term_ = kernel::term();
  state_ = replication::durable_state();
  recovered_.snapshot.reset();
  recovered_.entries.clear();
  recovered_.torn_bytes = 0;
  recovered_.torn_file.clear();
  recovered_.disk = RandomDisk();
  recovered_.bootstrap = bootstrap;
  recovered_.created = true;
  BOOST_LEAF_CHECK(StartSegment(/*reset=*/true, base_, base_term_));
  const std::filesystem::path path = folder_ / kIdentityName;
  BOOST_LEAF_AUTO(file, internal::file::Create(Beside(path, kTemporarySuffix)));
  internal::identity_record identity{kFormatVersion, recovered_.disk, bootstrap, {}};
  BOOST_LEAF_ASSIGN(identity.file, file.Identity());
  BOOST_LEAF_AUTO(record, Frame(identity, path));
  BOOST_LEAF_CHECK(file.Append(record));
  BOOST_LEAF_CHECK(file.Sync());
  BOOST_LEAF_CHECK(internal::Rename(file.path(), path));
  return internal::SyncFolder(folder_);
}

boost::leaf::result<bool> log_store::LoadIdentity() {
  const std::filesystem::path path = folder_ / kIdentityName;
  BOOST_LEAF_AUTO(exists, Exists(path));
  if (!exists) return false;
  BOOST_LEAF_AUTO(content, internal::ReadFile(path));
  const internal::read_record record = internal::ReadRecord(content, 0);
  // The file was complete before it got its name, so even a torn record is damage.
  if (record.state != internal::record_state::kComplete) {
    return Fault(storage_fault::kDamaged, path);
  }
  BOOST_LEAF_AUTO(identity, DecodeRecord<internal::identity_record>(record.payload, path, 0));
  if (identity.version > kFormatVersion) return Fault(storage_fault::kInconsistent, path);
  BOOST_LEAF_AUTO(file, internal::file::OpenForAppend(path));
  BOOST_LEAF_AUTO(actual, file.Identity());
  recovered_.disk = identity.disk;
  recovered_.bootstrap = identity.bootstrap;
  return check_ == copy_check::kNone || internal::IsSameFile(identity.file, actual);
}

// ---- Reading.

bool log_store::HasIdentity(const std::filesystem::path& folder) {
  std::error_code error;
  return std::filesystem::exists(folder / kIdentityName, error);
}

boost::leaf::result<std::shared_ptr<log_store>> log_store::Open(const std::filesystem::path& folder,
                                                                copy_check check) {
  BOOST_LEAF_AUTO(opened, Lock(folder));
  opened->check_ = check;
  BOOST_LEAF_CHECK(opened->ListSegments());
  BOOST_LEAF_AUTO(identified, opened->LoadIdentity());
  bool belongs = identified && !opened->segments_.empty();
  if (belongs) {
    BOOST_LEAF_ASSIGN(belongs, opened->LoadSegments());
  }
  if (!belongs) {
    BOOST_LEAF_CHECK(opened->CreateIdentity(/*bootstrap=*/false));
  } else {
    BOOST_LEAF_CHECK(opened->LoadSnapshot());
    BOOST_LEAF_CHECK(opened->ReconcileWithSnapshot());
  }
  opened->recovered_.state = opened->state_;
  return opened;
}

recovered_state log_store::Load() {
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
    const auto number = SegmentNumber(files->path().filename().string());
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
      return Fault(storage_fault::kInconsistent, segments_[position].path);
    }
    BOOST_LEAF_AUTO(belongs, LoadSegment(position));
    if (!belongs) return false;
  }
  if (segments_.empty()) return false;
  BOOST_LEAF_ASSIGN(active_, internal::file::OpenForAppend(segments_.back().path));
  return true;
}

boost::leaf::result<bool> log_store::LoadSegment(std::size_t position) {
  segment& loaded = segments_[position];
  const bool last = position + 1 == segments_.size();
  BOOST_LEAF_AUTO(content, internal::ReadFile(loaded.path));
  std::size_t offset = 0;
  while (true) {
    const internal::read_record record = internal::ReadRecord(content, offset);
    const bool empty = offset == 0 && record.state == internal::record_state::kEnd;
    if (record.state == internal::record_state::kEnd && !empty) return true;
    if (record.state != internal::record_state::kComplete) {
      if (!last || record.state == internal::record_state::kDamaged) {
        return Fault(storage_fault::kDamaged, loaded.path, offset);
      }
      recovered_.torn_bytes = content.size() - offset;
      recovered_.torn_file = loaded.path.string();
      if (offset == 0) {
        // The segment was being created; nothing was written to it.
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
        return Fault(storage_fault::kInconsistent, loaded.path);
      }
      BOOST_LEAF_AUTO(file, internal::file::OpenForAppend(loaded.path));
      BOOST_LEAF_AUTO(actual, file.Identity());
      const bool same_file =
          check_ == copy_check::kNone || internal::IsSameFile(header.file, actual);
      if (header.disk != recovered_.disk || !same_file) {
        return false;
      }
      state_ = header.state;
      if (position == 0 || header.reset) {
        terms_.clear();
        base_ = header.last_index;
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
                                                  segment& from, std::uint64_t offset) {
  if (replayed.state) state_ = *replayed.state;
  if (replayed.entries.empty()) return {};
  const kernel::log_index first = replayed.entries.front().index;
  if (first == kernel::log_index() || first > Next(last_index())) {
    return Fault(storage_fault::kInconsistent, from.path, offset);
  }
  if (first <= base_) {
    // Replaces entries of a segment that was removed since.
    base_ = kernel::log_index(first.value() - 1);
    base_term_ = kernel::term();
    terms_.clear();
    recovered_.entries.clear();
  }
  const std::size_t kept = first.value() - base_.value() - 1;
  terms_.resize(kept);
  recovered_.entries.resize(kept);
  for (const replication::log_entry& entry : replayed.entries) {
    if (entry.index != Next(last_index())) {
      return Fault(storage_fault::kInconsistent, from.path, offset);
    }
    terms_.push_back(entry.term);
    recovered_.entries.push_back(entry);
    from.highest = std::max(from.highest, entry.index);
  }
  return {};
}

boost::leaf::result<void> log_store::LoadSnapshot() {
  const std::filesystem::path path = folder_ / kSnapshotName;
  BOOST_LEAF_AUTO(exists, Exists(path));
  if (!exists) return {};
  BOOST_LEAF_AUTO(content, internal::ReadFile(path));
  internal::read_record record = internal::ReadRecord(content, 0);
  if (record.state != internal::record_state::kComplete) {
    return Fault(storage_fault::kDamaged, path);
  }
  BOOST_LEAF_AUTO(header, DecodeRecord<internal::snapshot_header>(record.payload, path, 0));
  if (header.version > kFormatVersion || header.disk != recovered_.disk) {
    return Fault(storage_fault::kInconsistent, path);
  }
  replication::snapshot loaded{header.index, header.term, header.configuration, {}};
  std::size_t offset = internal::kRecordHeaderBytes + record.payload.size();
  while (loaded.data.bytes.size() < header.size) {
    record = internal::ReadRecord(content, offset);
    if (record.state != internal::record_state::kComplete) {
      return Fault(storage_fault::kDamaged, path, offset);
    }
    loaded.data.bytes += record.payload;
    offset += internal::kRecordHeaderBytes + record.payload.size();
  }
  if (loaded.data.bytes.size() != header.size || offset != content.size()) {
    return Fault(storage_fault::kDamaged, path, offset);
  }
  recovered_.snapshot = std::move(loaded);
  return {};
}

boost::leaf::result<void> log_store::ReconcileWithSnapshot() {
  if (!recovered_.snapshot) {
    if (base_ == kernel::log_index()) return {};
    return Fault(storage_fault::kInconsistent, segments_.front().path);
  }
  const kernel::log_index index = recovered_.snapshot->index;
  const kernel::term term = recovered_.snapshot->term;
  if (HoldsPosition(index, term)) {
    const std::size_t covered = index.value() - base_.value();
    recovered_.entries.erase(recovered_.entries.begin(),
                             recovered_.entries.begin() + static_cast<std::ptrdiff_t>(covered));
    MoveBase(index, term);
    return {};
  }
  if (index < base_) return Fault(storage_fault::kInconsistent, segments_.front().path);
  // The process ended between storing the snapshot and resetting the log.
  recovered_.entries.clear();
  return StartSegment(/*reset=*/true, index, term);
}

// ---- Writing.

boost::leaf::result<void> log_store::StartSegment(bool reset, kernel::log_index index,
                                                  kernel::term term) {
  if (active_.is_open()) {
    ++sync_count_;
    BOOST_LEAF_CHECK(active_.Sync());
  }
  segment started;
  started.number = segments_.empty() ? 1 : segments_.back().number + 1;
  started.path = folder_ / SegmentName(started.number);
  BOOST_LEAF_AUTO(file, internal::file::Create(started.path));
  internal::segment_header header{kFormatVersion, recovered_.disk, started.number, {},
                                  state_,         reset,           index,          term};
  BOOST_LEAF_ASSIGN(header.file, file.Identity());
  BOOST_LEAF_AUTO(record, Frame(header, started.path));
  BOOST_LEAF_CHECK(file.Append(record));
  ++sync_count_;
  BOOST_LEAF_CHECK(file.Sync());
  BOOST_LEAF_CHECK(internal::SyncFolder(folder_));
  active_ = std::move(file);
  segments_.push_back(std::move(started));
  if (reset) {
    terms_.clear();
    base_ = index;
    base_term_ = term;
  }
  return {};
}

boost::leaf::result<void> log_store::WriteRecord(const internal::log_record& written) {
  if (active_.size() >= kSegmentBytes) {
    BOOST_LEAF_CHECK(StartSegment(/*reset=*/false, last_index(), last_term()));
  }
  BOOST_LEAF_AUTO(record, Frame(written, active_.path()));
  BOOST_LEAF_CHECK(active_.Append(record));
  if (written.state) state_ = *written.state;
  if (written.entries.empty()) return {};
  terms_.resize(written.entries.front().index.value() - base_.value() - 1);
  for (const replication::log_entry& entry : written.entries) terms_.push_back(entry.term);
  segments_.back().highest = std::max(segments_.back().highest, last_index());
  return {};
}

boost::leaf::result<void> log_store::Append(const std::optional<replication::durable_state>& state,
                                            const std::vector<replication::log_entry>& entries) {
  BOOST_LEAF_CHECK(CheckUsable());
  if (!state && entries.empty()) return {};
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const bool follows = i == 0 ? entries[i].index > base_ && entries[i].index <= Next(last_index())
                                : entries[i].index == Next(entries[i - 1].index);
    if (!follows) return Fault(storage_fault::kInconsistent, active_.path(), active_.size());
  }
  internal::log_record pending{state, {}};
  std::size_t bytes = 0;
  for (const replication::log_entry& entry : entries) {
    bytes += replication::MaxEncodedBytes(entry);
    if (!pending.entries.empty() &&
        (bytes > kRecordSplitBytes || pending.entries.size() >= kRecordSplitEntries)) {
      BOOST_LEAF_CHECK(Settle(WriteRecord(pending)));
      pending = internal::log_record();
      bytes = replication::MaxEncodedBytes(entry);
    }
    pending.entries.push_back(entry);
  }
  return Settle(WriteRecord(pending));
}

boost::leaf::result<void> log_store::Sync() {
  BOOST_LEAF_CHECK(CheckUsable());
  ++sync_count_;
  return Settle(active_.Sync());
}

boost::leaf::result<void> log_store::SaveSnapshot(const replication::snapshot& saved) {
  BOOST_LEAF_CHECK(CheckUsable());
  if (saved.data.bytes.size() > kMaxSnapshotBytes) {
    return Fault(storage_fault::kTooLarge, folder_ / kSnapshotName);
  }
  if (saved.index < base_) return {};
  BOOST_LEAF_CHECK(Settle(WriteSnapshot(saved)));
  if (HoldsPosition(saved.index, saved.term)) {
    MoveBase(saved.index, saved.term);
  } else {
    BOOST_LEAF_CHECK(Settle(StartSegment(/*reset=*/true, saved.index, saved.term)));
    while (segments_.size() > 1) {
      BOOST_LEAF_CHECK(Settle(RemoveFirstSegment()));
    }
  }
  while (segments_.size() > 1 && segments_.front().highest <= saved.index) {
    BOOST_LEAF_CHECK(Settle(RemoveFirstSegment()));
  }
  return {};
}

boost::leaf::result<void> log_store::WriteSnapshot(const replication::snapshot& saved) {
  const std::filesystem::path path = folder_ / kSnapshotName;
  BOOST_LEAF_AUTO(file, internal::file::Create(Beside(path, kTemporarySuffix)));
  const std::string& data = saved.data.bytes;
  BOOST_LEAF_AUTO(header,
                  Frame(internal::snapshot_header{kFormatVersion, recovered_.disk, saved.index,
                                                  saved.term, saved.configuration, data.size()},
                        path));
  BOOST_LEAF_CHECK(file.Append(header));
  for (std::size_t offset = 0; offset < data.size(); offset += kSnapshotPieceBytes) {
    BOOST_LEAF_CHECK(file.Append(
        internal::FrameRecord(std::string_view(data).substr(offset, kSnapshotPieceBytes))));
  }
  BOOST_LEAF_CHECK(file.Sync());
  BOOST_LEAF_CHECK(internal::Rename(file.path(), path));
  return internal::SyncFolder(folder_);
}

// Removes the oldest segment. The folder is synced each time, so that a crash can't leave a gap.
boost::leaf::result<void> log_store::RemoveFirstSegment() {
  BOOST_LEAF_CHECK(internal::Remove(segments_.front().path));
  segments_.erase(segments_.begin());
  return internal::SyncFolder(folder_);
}

bool log_store::HoldsPosition(kernel::log_index index, kernel::term term) const {
  if (index == base_) return term == base_term_;
  if (index < base_ || index > last_index()) return false;
  return terms_[index.value() - base_.value() - 1] == term;
}

kernel::log_index log_store::last_index() const {
  return kernel::log_index(base_.value() + terms_.size());
}

kernel::term log_store::last_term() const { return terms_.empty() ? base_term_ : terms_.back(); }

void log_store::MoveBase(kernel::log_index index, kernel::term term) {
  terms_.erase(terms_.begin(),
               terms_.begin() + static_cast<std::ptrdiff_t>(index.value() - base_.value()));
  base_ = index;
  base_term_ = term;
}

// After a failed write or sync it is unknown what the disk holds, and a second sync may report
// success for data that was dropped.
boost::leaf::result<void> log_store::Settle(boost::leaf::result<void> outcome) {
  if (!outcome) failed_ = true;
  return outcome;
}

boost::leaf::result<void> log_store::CheckUsable() const {
  if (failed_) return Fault(storage_fault::kFailed, folder_);
  return {};
}

}  // namespace cornelweir::storage
