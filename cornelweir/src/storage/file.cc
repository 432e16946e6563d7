#include "cornelweir/src/storage/file.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace cornelweir::storage::internal {

boost::leaf::error_id SystemError(const std::filesystem::path& path, std::uint64_t offset,
                                  int error) {
  const storage_fault fault =
      error == ENOSPC || error == EDQUOT ? storage_fault::kFull : storage_fault::kSystem;
  return boost::leaf::new_error(storage_error{fault, path.string(), offset, error});
}

bool IsSameFile(const file_identity& left, const file_identity& right) {
  if (left.inode != right.inode) return false;
  return left.created == 0 || right.created == 0 || left.created == right.created;
}

file::file(file&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)),
      size_(other.size_),
      path_(std::move(other.path_)) {}

file& file::operator=(file&& other) noexcept {
  if (this != &other) {
    if (descriptor_ >= 0) ::close(descriptor_);
    descriptor_ = std::exchange(other.descriptor_, -1);
    size_ = other.size_;
    path_ = std::move(other.path_);
  }
  return *this;
}

file::~file() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

boost::leaf::result<file> file::Open(const std::filesystem::path& path, int flags) {
  file opened;
  opened.path_ = path;
  opened.descriptor_ = ::open(path.c_str(), flags | O_CLOEXEC, 0600);
  if (opened.descriptor_ < 0) return SystemError(path, 0, errno);
  struct stat status {};
  if (::fstat(opened.descriptor_, &status) != 0) return SystemError(path, 0, errno);
  opened.size_ = static_cast<std::uint64_t>(status.st_size);
  return opened;
}

boost::leaf::result<file> file::OpenForAppend(const std::filesystem::path& path) {
  return Open(path, O_WRONLY | O_CREAT | O_APPEND);
}

boost::leaf::result<file> file::Create(const std::filesystem::path& path) {
  // An existing file is removed first, so that the new file has an identity of its own.
  BOOST_LEAF_CHECK(Remove(path));
  return Open(path, O_WRONLY | O_CREAT | O_EXCL | O_APPEND);
}

boost::leaf::result<void> file::Append(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
    if (written < 0) {
      if (errno == EINTR) continue;
      return SystemError(path_, size_, errno);
    }
    size_ += static_cast<std::uint64_t>(written);
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

boost::leaf::result<void> file::Sync() {
  if (::fdatasync(descriptor_) != 0) return SystemError(path_, size_, errno);
  return {};
}

boost::leaf::result<void> file::Lock() {
  if (::flock(descriptor_, LOCK_EX | LOCK_NB) == 0) return {};
  if (errno == EWOULDBLOCK) {
    return boost::leaf::new_error(storage_error{storage_fault::kLocked, path_.string(), 0, errno});
  }
  return SystemError(path_, 0, errno);
}

boost::leaf::result<file_identity> file::Identity() const {
  struct statx status {};
  if (::statx(descriptor_, "", AT_EMPTY_PATH, STATX_INO | STATX_BTIME, &status) != 0) {
    return SystemError(path_, 0, errno);
  }
  file_identity identity;
  identity.inode = status.stx_ino;
  if ((status.stx_mask & STATX_BTIME) != 0) {
    constexpr std::uint64_t kNanosecondsPerSecond = 1'000'000'000;
    identity.created = static_cast<std::uint64_t>(status.stx_btime.tv_sec) * kNanosecondsPerSecond +
                       status.stx_btime.tv_nsec;
  }
  return identity;
}

std::filesystem::path TemporaryPath(const std::filesystem::path& path) {
  std::filesystem::path temporary = path;
  temporary += ".tmp";
  return temporary;
}

boost::leaf::result<bool> Exists(const std::filesystem::path& path) {
  std::error_code error;
  const bool found = std::filesystem::exists(path, error);
  if (error) return SystemError(path, 0, error.value());
  return found;
}

boost::leaf::result<std::string> ReadFile(const std::filesystem::path& path) {
  const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) return SystemError(path, 0, errno);
  std::string bytes;
  std::string buffer(std::size_t{1} << 16, '\0');
  while (true) {
    const ssize_t count = ::read(descriptor, buffer.data(), buffer.size());
    if (count < 0) {
      if (errno == EINTR) continue;
      const int error = errno;
      ::close(descriptor);
      return SystemError(path, bytes.size(), error);
    }
    if (count == 0) break;
    bytes.append(buffer, 0, static_cast<std::size_t>(count));
  }
  ::close(descriptor);
  return bytes;
}

boost::leaf::result<void> TruncateFile(const std::filesystem::path& path, std::uint64_t size) {
  if (::truncate(path.c_str(), static_cast<off_t>(size)) != 0) {
    return SystemError(path, size, errno);
  }
  return {};
}

boost::leaf::result<void> SyncFolder(const std::filesystem::path& path) {
  const int descriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) return SystemError(path, 0, errno);
  const int sync_result = ::fsync(descriptor);
  const int error = errno;
  ::close(descriptor);
  if (sync_result != 0) return SystemError(path, 0, error);
  return {};
}

boost::leaf::result<void> Rename(const std::filesystem::path& from,
                                 const std::filesystem::path& to) {
  std::error_code error;
  std::filesystem::rename(from, to, error);
  if (error) return SystemError(from, 0, error.value());
  return {};
}

boost::leaf::result<void> Remove(const std::filesystem::path& path) {
  std::error_code error;
  std::filesystem::remove(path, error);
  if (error) return SystemError(path, 0, error.value());
  return {};
}

}  // namespace cornelweir::storage::internal
