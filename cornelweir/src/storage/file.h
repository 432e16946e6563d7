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

// Tells a file from a copy of it: a copy has another inode or another time of creation.
struct file_identity {
  std::uint64_t inode = 0;
  // In nanoseconds; 0 if the file system doesn't record it.
  std::uint64_t created = 0;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"inode", &file_identity::inode},
                      kernel::field{"created", &file_identity::created}};
  }
};

// Whether both are the same file. A time of creation that only one side knows is not compared.
bool IsSameFile(const file_identity& left, const file_identity& right);

// An open file; closed at the end of its life.
class file {
 public:
  file() = default;
  file(file&& other) noexcept;
  file& operator=(file&& other) noexcept;
  file(const file&) = delete;
  file& operator=(const file&) = delete;
  ~file();

  // Opens a file for appending, or creates it.
  static boost::leaf::result<file> OpenForAppend(const std::filesystem::path& path);
  // Creates an empty file, in place of one that may be there.
  static boost::leaf::result<file> Create(const std::filesystem::path& path);

  bool is_open() const { return descriptor_ >= 0; }
  std::uint64_t size() const { return size_; }
  const std::filesystem::path& path() const { return path_; }

  boost::leaf::result<void> Append(std::string_view bytes);
  boost::leaf::result<void> Sync();
  // Takes the lock that excludes other processes until the file is closed.
  boost::leaf::result<void> Lock();
  boost::leaf::result<file_identity> Identity() const;

 private:
  static boost::leaf::result<file> Open(const std::filesystem::path& path, int flags);

  int descriptor_ = -1;
  std::uint64_t size_ = 0;
  std::filesystem::path path_;
};

boost::leaf::error_id SystemError(const std::filesystem::path& path, std::uint64_t offset,
                                  int error);

boost::leaf::result<std::string> ReadFile(const std::filesystem::path& path);
boost::leaf::result<void> TruncateFile(const std::filesystem::path& path, std::uint64_t size);
boost::leaf::result<void> SyncFolder(const std::filesystem::path& path);
boost::leaf::result<void> Rename(const std::filesystem::path& from,
                                 const std::filesystem::path& to);
boost::leaf::result<void> Remove(const std::filesystem::path& path);

}  // namespace cornelweir::storage::internal

#endif  // CORNELWEIR_SRC_STORAGE_FILE_H_
