#include "cornelweir/src/storage/posix_calls.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <filesystem>
#include <system_error>

namespace cornelweir::storage {
namespace {

// Repeats a call for as long as a signal interrupts it.
template <class Call>
call_result Repeat(Call call) {
  while (true) {
    const std::int64_t value = call();
    if (value >= 0) return {value, 0};
    if (errno != EINTR) return {0, errno};
  }
}

call_result FromError(const std::error_code& error, std::int64_t value = 0) {
  return error ? call_result{0, error.value()} : call_result{value, 0};
}

int Flags(open_mode mode) {
  switch (mode) {
    case open_mode::kRead:
      return O_RDONLY;
    case open_mode::kAppend:
      return O_WRONLY | O_CREAT | O_APPEND;
    case open_mode::kCreate:
      return O_WRONLY | O_CREAT | O_EXCL | O_APPEND;
    case open_mode::kOverwrite:
      return O_WRONLY;
  }
  return O_RDONLY;
}

}  // namespace

call_result posix_calls::Open(const std::string& path, open_mode mode) const {
  constexpr int kFileMode = 0600;
  return Repeat([&] { return ::open(path.c_str(), Flags(mode) | O_CLOEXEC, kFileMode); });
}

void posix_calls::Close(int descriptor) const { ::close(descriptor); }

call_result posix_calls::Size(int descriptor) const {
  struct stat status {};
  if (::fstat(descriptor, &status) != 0) return {0, errno};
  return {status.st_size, 0};
}

call_result posix_calls::Identity(int descriptor, file_identity& identity) const {
  struct statx status {};
  if (::statx(descriptor, "", AT_EMPTY_PATH, STATX_INO | STATX_BTIME, &status) != 0) {
    return {0, errno};
  }
  identity = file_identity();
  identity.inode = status.stx_ino;
  if ((status.stx_mask & STATX_BTIME) != 0) {
    constexpr std::uint64_t kNanosecondsPerSecond = 1'000'000'000;
    identity.created = static_cast<std::uint64_t>(status.stx_btime.tv_sec) * kNanosecondsPerSecond +
                       status.stx_btime.tv_nsec;
  }
  return {};
}

call_result posix_calls::Read(int descriptor, char* buffer, std::size_t size) const {
  return Repeat([&] { return ::read(descriptor, buffer, size); });
}

call_result posix_calls::Write(int descriptor, std::string_view bytes) const {
  return Repeat([&] { return ::write(descriptor, bytes.data(), bytes.size()); });
}

call_result posix_calls::Sync(int descriptor) const {
  return Repeat([&] { return ::fdatasync(descriptor); });
}

call_result posix_calls::Truncate(int descriptor, std::size_t size) const {
  return Repeat([&] { return ::ftruncate(descriptor, static_cast<off_t>(size)); });
}

call_result posix_calls::Lock(int descriptor) const {
  return Repeat([&] { return ::flock(descriptor, LOCK_EX | LOCK_NB); });
}

call_result posix_calls::Exists(const std::string& path) const {
  std::error_code error;
  const bool found = std::filesystem::exists(path, error);
  return FromError(error, found ? 1 : 0);
}

call_result posix_calls::Rename(const std::string& from, const std::string& to) const {
  std::error_code error;
  std::filesystem::rename(from, to, error);
  return FromError(error);
}

call_result posix_calls::Remove(const std::string& path) const {
  std::error_code error;
  std::filesystem::remove(path, error);
  return FromError(error);
}

call_result posix_calls::List(const std::string& path, std::vector<std::string>& names) const {
  std::error_code error;
  std::filesystem::directory_iterator files(path, error);
  for (; !error && files != std::filesystem::directory_iterator(); files.increment(error)) {
    names.push_back(files->path().filename().string());
  }
  return FromError(error);
}

call_result posix_calls::CreateFolders(const std::string& path) const {
  std::error_code error;
  std::filesystem::create_directories(path, error);
  return FromError(error);
}

call_result posix_calls::SyncFolder(const std::string& path) const {
  const call_result opened =
      Repeat([&] { return ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC); });
  if (!opened) return opened;
  const int descriptor = static_cast<int>(opened.value);
  const call_result synced = Repeat([&] { return ::fsync(descriptor); });
  ::close(descriptor);
  return synced;
}

call_result posix_calls::FreeBytes(const std::string& path) const {
  struct statvfs status {};
  if (::statvfs(path.c_str(), &status) != 0) return {0, errno};
  return {static_cast<std::int64_t>(status.f_bavail * status.f_frsize), 0};
}

}  // namespace cornelweir::storage
