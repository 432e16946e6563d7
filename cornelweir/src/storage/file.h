#ifndef CORNELWEIR_SRC_STORAGE_FILE_H_
#define CORNELWEIR_SRC_STORAGE_FILE_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/storage/storage_error.h"

namespace cornelweir::storage::internal {

// Distinguishes a file from a copy of it: a copy has another inode or another creation time.
struct file_identity {
  std::uint64_t inode = 0;
  // The creation time in nanoseconds since the epoch; 0 if the file system doesn't record it.
  std::uint64_t created = 0;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"inode", &file_identity::inode},
                      kernel::field{"created", &file_identity::created}};
  }
};

// Whether both identify the same file. A creation time that is missing on one side isn't compared.
bool IsSameFile(const file_identity& left, const file_identity& right);

// An open file; the destructor closes it. Every call that fails returns a storage_error.
class file {
 public:
  file() = default;
  file(file&& other) noexcept;
  file& operator=(file&& other) noexcept;
  file(const file&) = delete;
  file& operator=(const file&) = delete;
  ~file();

  // Opens a file for appending; creates it if it does not exist.
  static boost::leaf::result<file> OpenForAppend(const std::filesystem::path& path);
  // Creates an empty file and replaces an existing one.
  static boost::leaf::result<file> Create(const std::filesystem::path& path);

  bool is_open() const { return descriptor_ >= 0; }
  std::uint64_t size() const { return size_; }
  const std::filesystem::path& path() const { return path_; }

  // Writes all bytes to the end of the file.
  boost::leaf::result<void> Append(std::string_view bytes);
  // Makes the content of the file durable (fdatasync).
  boost::leaf::result<void> Sync();
  // Locks the file against other processes until it is closed. Fails with kLocked if another
  // process has locked it.
  boost::leaf::result<void> Lock();
  boost::leaf::result<file_identity> Identity() const;

 private:
  static boost::leaf::result<file> Open(const std::filesystem::path& path, int flags);

  int descriptor_ = -1;
  std::uint64_t size_ = 0;
  std::filesystem::path path_;
};

// Creates a storage_error for an error number of the operating system: kFull if no space or quota
// is left, otherwise kSystem.
boost::leaf::error_id SystemError(const std::filesystem::path& path, std::uint64_t offset,
                                  int error);

// The path at which the new content of a file is written before it is renamed to the path.
std::filesystem::path TemporaryPath(const std::filesystem::path& path);
boost::leaf::result<bool> Exists(const std::filesystem::path& path);
boost::leaf::result<std::string> ReadFile(const std::filesystem::path& path);
boost::leaf::result<void> TruncateFile(const std::filesystem::path& path, std::uint64_t size);
// Makes the entries of a folder durable: files created, renamed or removed in it.
boost::leaf::result<void> SyncFolder(const std::filesystem::path& path);
boost::leaf::result<void> Rename(const std::filesystem::path& from,
                                 const std::filesystem::path& to);
// Removes a file if it exists.
boost::leaf::result<void> Remove(const std::filesystem::path& path);

}  // namespace cornelweir::storage::internal

#endif  // CORNELWEIR_SRC_STORAGE_FILE_H_
