#ifndef CORNELWEIR_SRC_STORAGE_FILE_H_
#define CORNELWEIR_SRC_STORAGE_FILE_H_

#include <boost/leaf.hpp>
#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <utility>

#include "cornelweir/src/storage/file_calls.h"
#include "cornelweir/src/storage/storage_error.h"

namespace cornelweir::storage::internal {

// Creates the storage_error of a call that failed: kFull if no space, quota or file size is left,
// otherwise kSystem.
inline boost::leaf::error_id SystemError(storage_call call, const std::filesystem::path& path,
                                         std::uint64_t offset, int error) {
  const bool is_full = error == ENOSPC || error == EDQUOT || error == EFBIG;
  const storage_fault fault = is_full ? storage_fault::kFull : storage_fault::kSystem;
  return boost::leaf::new_error(storage_error{fault, path.string(), offset, error, call});
}

// An open file that is appended to; the destructor closes it. Every call that fails returns a
// storage_error.
template <file_calls Calls>
class file {
 public:
  file() = default;
  file(Calls calls, int descriptor, std::uint64_t size, std::filesystem::path path)
      : calls_(calls), descriptor_(descriptor), size_(size), path_(std::move(path)) {}
  file(file&& other) noexcept
      : calls_(other.calls_),
        descriptor_(std::exchange(other.descriptor_, -1)),
        size_(other.size_),
        path_(std::move(other.path_)) {}
  file& operator=(file&& other) noexcept {
    if (this == &other) return *this;
    Close();
    calls_ = other.calls_;
    descriptor_ = std::exchange(other.descriptor_, -1);
    size_ = other.size_;
    path_ = std::move(other.path_);
    return *this;
  }
  file(const file&) = delete;
  file& operator=(const file&) = delete;
  ~file() { Close(); }

  bool is_open() const { return descriptor_ >= 0; }
  std::uint64_t size() const { return size_; }
  const std::filesystem::path& path() const { return path_; }

  // Writes all bytes to the end of the file.
  boost::leaf::result<void> Append(std::string_view bytes) {
    while (!bytes.empty()) {
      const call_result written = calls_.Write(descriptor_, bytes);
      if (!written) return SystemError(storage_call::kWrite, path_, size_, written.error);
      size_ += static_cast<std::uint64_t>(written.value);
      bytes.remove_prefix(static_cast<std::size_t>(written.value));
    }
    return {};
  }

  // Makes the content of the file durable.
  boost::leaf::result<void> Sync() {
    const call_result synced = calls_.Sync(descriptor_);
    if (!synced) return SystemError(storage_call::kSync, path_, size_, synced.error);
    return {};
  }

  boost::leaf::result<void> Truncate(std::uint64_t size) {
    const call_result truncated = calls_.Truncate(descriptor_, size);
    if (!truncated) return SystemError(storage_call::kTruncate, path_, size, truncated.error);
    size_ = size;
    return {};
  }

  // Locks the file against other processes until it is closed. Fails with kLocked if another
  // process has locked it.
  boost::leaf::result<void> Lock() {
    const call_result locked = calls_.Lock(descriptor_);
    if (locked) return {};
    if (locked.error != EWOULDBLOCK) {
      return SystemError(storage_call::kLock, path_, 0, locked.error);
    }
    return boost::leaf::new_error(storage_error{storage_fault::kLocked, path_.string(), 0,
                                                locked.error, storage_call::kLock});
  }

  boost::leaf::result<file_identity> Identity() const {
    file_identity identity;
    const call_result read = calls_.Identity(descriptor_, identity);
    if (!read) return SystemError(storage_call::kStatus, path_, 0, read.error);
    return identity;
  }

 private:
  void Close() {
    if (descriptor_ >= 0) calls_.Close(std::exchange(descriptor_, -1));
  }

  Calls calls_;
  int descriptor_ = -1;
  std::uint64_t size_ = 0;
  std::filesystem::path path_;
};

}  // namespace cornelweir::storage::internal

#endif  // CORNELWEIR_SRC_STORAGE_FILE_H_
