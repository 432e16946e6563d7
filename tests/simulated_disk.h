#ifndef CORNELWEIR_TESTS_SIMULATED_DISK_H_
#define CORNELWEIR_TESTS_SIMULATED_DISK_H_

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cornelweir/kernel.h"
#include "cornelweir/storage.h"

namespace cornelweir::storage {

// A disk in memory with the faults that a real one may show: calls that fail, writes that stop
// halfway, a lack of room, syncs that drop what they were to write, and a loss of power.
class simulated_disk {
 public:
  explicit simulated_disk(std::uint64_t seed) : random_(seed) {}

  // Calls from number first on fail with this errno, count of them. The first call has number 1.
  void FailCalls(std::uint64_t first, std::uint64_t count, int error) {
    fault_ = call_fault{first, count, error, /*short_write=*/false};
  }
  // The call writes one byte less than it was given if it is a write, and the next one fails.
  void CutWrite(std::uint64_t number) { fault_ = call_fault{number, 2, ENOSPC, true}; }
  // Only this number of bytes can be written until the room is set again; all if empty.
  void SetRoom(std::optional<std::size_t> bytes) { room_ = bytes; }
  std::uint64_t calls() const { return calls_; }

  // The process that used the disk has ended: its files stay as they were.
  void EndProcess() { open_files_.clear(); }

  // Keeps what was synced. Of all that came later, each name and each file's new content is kept in
  // full, in part or not at all.
  void LosePower() {
    EndProcess();
    std::map<std::string, std::shared_ptr<inode>> kept = durable_names_;
    for (const auto& [path, file] : names_) {
      if (!durable_names_.contains(path) && Draw(2) == 0) kept[path] = file;
    }
    for (const auto& [path, file] : durable_names_) {
      if (!names_.contains(path) && Draw(2) == 0) kept.erase(path);
      if (names_.contains(path) && Draw(2) == 0) kept[path] = names_.at(path);
    }
    names_ = durable_names_ = std::move(kept);
    for (const auto& [path, file] : names_) LoseUnsyncedContent(*file);
  }

 private:
  friend class simulated_calls;

  struct call_fault {
    std::uint64_t first = 0;
    std::uint64_t count = 0;
    int error = 0;
    bool short_write = false;
  };

  struct inode {
    std::string content;
    std::string durable;
    std::uint64_t number = 0;
    // Where content that was not synced yet begins.
    std::size_t dirty_from = 0;
    // Parts that a failed sync dropped: reads return them, and no later sync writes them.
    std::vector<std::pair<std::size_t, std::size_t>> dropped;
  };

  struct open_file {
    std::shared_ptr<inode> file;
    std::size_t offset = 0;
    bool overwrites = false;

    void Write(std::string_view bytes) {
      if (!overwrites) offset = file->content.size();
      file->dirty_from = std::min(file->dirty_from, offset);
      file->content.replace(offset, bytes.size(), bytes);
      const std::size_t end = offset + bytes.size();
      for (auto& range : file->dropped) {
        if (range.first >= offset) range.first = std::max(range.first, end);
      }
      std::erase_if(file->dropped, [](const auto& range) { return range.first >= range.second; });
      offset = end;
    }
  };

  std::uint64_t Draw(std::uint64_t bound) { return kernel::UniformBelow(random_, bound); }

  // Counts a call. Returns the errno with which it fails, or 0.
  int Count() {
    ++calls_;
    const bool is_in_range = calls_ >= fault_.first && calls_ < fault_.first + fault_.count;
    if (!is_in_range || (fault_.short_write && calls_ == fault_.first)) return 0;
    return fault_.error;
  }

  bool IsShortWrite() const { return fault_.short_write && calls_ == fault_.first; }

  void LoseUnsyncedContent(inode& file) {
    const std::size_t synced = std::min(file.durable.size(), file.content.size());
    if (file.dropped.empty() && file.content.size() > synced && Draw(2) == 0) {
      file.durable += file.content.substr(synced, Draw(file.content.size() - synced + 1));
    }
    file.content = file.durable;
    file.dirty_from = file.content.size();
    file.dropped.clear();
  }

  kernel::seeded_random random_;
  std::map<std::string, std::shared_ptr<inode>> names_;
  std::map<std::string, std::shared_ptr<inode>> durable_names_;
  std::map<int, open_file> open_files_;
  int next_descriptor_ = 3;
  std::uint64_t next_inode_ = 1;
  std::uint64_t calls_ = 0;
  call_fault fault_;
  std::optional<std::size_t> room_;
};

// The calls of a store on a simulated disk.
class simulated_calls {
 public:
  simulated_calls() = default;
  explicit simulated_calls(simulated_disk& disk) : disk_(&disk) {}

  call_result Open(const std::string& path, open_mode mode) const {
    if (const int error = disk_->Count()) return {0, error};
    const auto found = disk_->names_.find(path);
    const bool exists = found != disk_->names_.end();
    if (exists && mode == open_mode::kCreate) return {0, EEXIST};
    const bool needs_file = mode == open_mode::kRead || mode == open_mode::kOverwrite;
    if (!exists && needs_file) return {0, ENOENT};
    if (!exists) {
      // A full disk has no room for the name of a new file either.
      if (disk_->room_ == 0U) return {0, ENOSPC};
      const auto created = std::make_shared<simulated_disk::inode>();
      created->number = disk_->next_inode_++;
      disk_->names_[path] = created;
    }
    const bool overwrites = mode == open_mode::kOverwrite;
    disk_->open_files_[disk_->next_descriptor_] = {disk_->names_.at(path), 0, overwrites};
    return {disk_->next_descriptor_++, 0};
  }

  void Close(int descriptor) const { disk_->open_files_.erase(descriptor); }

  call_result Size(int descriptor) const {
    if (const int error = disk_->Count()) return {0, error};
    return {static_cast<std::int64_t>(File(descriptor).content.size()), 0};
  }

  call_result Identity(int descriptor, file_identity& identity) const {
    if (const int error = disk_->Count()) return {0, error};
    identity = {File(descriptor).number, 0};
    return {};
  }

  call_result Read(int descriptor, char* buffer, std::size_t size) const {
    if (const int error = disk_->Count()) return {0, error};
    std::size_t& offset = disk_->open_files_.at(descriptor).offset;
    const std::size_t count = File(descriptor).content.copy(buffer, size, offset);
    offset += count;
    return {static_cast<std::int64_t>(count), 0};
  }

  call_result Write(int descriptor, std::string_view bytes) const {
    if (const int error = disk_->Count()) return {0, error};
    std::size_t count = bytes.size();
    if (disk_->IsShortWrite()) --count;
    if (disk_->room_) {
      if (*disk_->room_ == 0) return {0, ENOSPC};
      count = std::min(count, *disk_->room_);
      *disk_->room_ -= count;
    }
    disk_->open_files_.at(descriptor).Write(bytes.substr(0, count));
    return {static_cast<std::int64_t>(count), 0};
  }

  call_result Sync(int descriptor) const {
    simulated_disk::inode& file = File(descriptor);
    const int error = disk_->Count();
    if (error != 0) {
      if (file.dirty_from < file.content.size()) {
        file.dropped.emplace_back(file.dirty_from, file.content.size());
      }
    } else {
      file.durable = file.content;
      for (const auto& [begin, end] : file.dropped) {
        std::fill(file.durable.begin() + static_cast<std::ptrdiff_t>(begin),
                  file.durable.begin() + static_cast<std::ptrdiff_t>(end), '\0');
      }
    }
    file.dirty_from = file.content.size();
    return {0, error};
  }

  call_result Truncate(int descriptor, std::size_t size) const {
    if (const int error = disk_->Count()) return {0, error};
    simulated_disk::inode& file = File(descriptor);
    file.content.resize(size);
    file.dirty_from = std::min(file.dirty_from, size);
    std::erase_if(file.dropped, [&](const auto& range) { return range.first >= size; });
    for (auto& [begin, end] : file.dropped) end = std::min(end, size);
    return {};
  }

  call_result Lock(int /*descriptor*/) const { return {0, disk_->Count()}; }

  call_result Exists(const std::string& path) const {
    if (const int error = disk_->Count()) return {0, error};
    return {disk_->names_.contains(path) ? 1 : 0, 0};
  }

  call_result Rename(const std::string& from, const std::string& to) const {
    if (const int error = disk_->Count()) return {0, error};
    const auto found = disk_->names_.find(from);
    if (found == disk_->names_.end()) return {0, ENOENT};
    disk_->names_[to] = found->second;
    disk_->names_.erase(from);
    return {};
  }

  call_result Remove(const std::string& path) const {
    if (const int error = disk_->Count()) return {0, error};
    disk_->names_.erase(path);
    return {};
  }

  call_result List(const std::string& path, std::vector<std::string>& names) const {
    if (const int error = disk_->Count()) return {0, error};
    const std::string prefix = path + "/";
    for (const auto& [name, file] : disk_->names_) {
      if (name.starts_with(prefix)) names.push_back(name.substr(prefix.size()));
    }
    return {};
  }

  call_result CreateFolders(const std::string& /*path*/) const { return {0, disk_->Count()}; }

  call_result SyncFolder(const std::string& path) const {
    if (const int error = disk_->Count()) return {0, error};
    const std::string prefix = path + "/";
    std::erase_if(disk_->durable_names_,
                  [&](const auto& name) { return name.first.starts_with(prefix); });
    for (const auto& [name, file] : disk_->names_) {
      if (name.starts_with(prefix)) disk_->durable_names_[name] = file;
    }
    return {};
  }

  call_result FreeBytes(const std::string& /*path*/) const { return {0, ENOSYS}; }

 private:
  simulated_disk::inode& File(int descriptor) const {
    return *disk_->open_files_.at(descriptor).file;
  }

  simulated_disk* disk_ = nullptr;
};

static_assert(file_calls<simulated_calls>);

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_TESTS_SIMULATED_DISK_H_
