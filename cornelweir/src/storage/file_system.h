#ifndef CORNELWEIR_SRC_STORAGE_FILE_SYSTEM_H_
#define CORNELWEIR_SRC_STORAGE_FILE_SYSTEM_H_

#include <boost/leaf.hpp>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelweir/src/storage/file.h"
#include "cornelweir/src/storage/file_calls.h"
#include "cornelweir/src/storage/storage_error.h"

namespace cornelweir::storage::internal {

// The path at which the new content of a file is written before it is renamed to the path.
inline std::filesystem::path TemporaryPath(const std::filesystem::path& path) {
  std::filesystem::path temporary = path;
  temporary += ".tmp";
  return temporary;
}

// Operations on files and folders by path. Every call that fails returns a storage_error.
template <file_calls Calls>
class file_system {
 public:
  explicit file_system(Calls calls) : calls_(calls) {}

  // Opens a file for appending; creates it if it does not exist.
  boost::leaf::result<file<Calls>> OpenForAppend(const std::filesystem::path& path) const {
    return Open(path, open_mode::kAppend);
  }

  // Creates an empty file and replaces an existing one. An existing file is removed first, so that
  // the new file has an identity of its own.
  boost::leaf::result<file<Calls>> Create(const std::filesystem::path& path) const {
    BOOST_LEAF_CHECK(Remove(path));
    return Open(path, open_mode::kCreate);
  }

  // Writes the content of a file again, unchanged, and makes it durable. A sync alone is not enough
  // for content that an earlier failed sync dropped: reads may return it although no sync writes
  // it.
  boost::leaf::result<void> RewriteDurably(const std::filesystem::path& path) const {
    BOOST_LEAF_AUTO(content, ReadFile(path));
    BOOST_LEAF_AUTO(descriptor, OpenDescriptor(path, open_mode::kOverwrite));
    file<Calls> rewritten(calls_, descriptor, 0, path);
    BOOST_LEAF_CHECK(rewritten.Append(content));
    return rewritten.Sync();
  }

  boost::leaf::result<bool> Exists(const std::filesystem::path& path) const {
    const call_result found = calls_.Exists(path.string());
    if (!found) return SystemError(storage_call::kStatus, path, 0, found.error);
    return found.value != 0;
  }

  boost::leaf::result<std::string> ReadFile(const std::filesystem::path& path) const {
    BOOST_LEAF_AUTO(opened, OpenDescriptor(path, open_mode::kRead));
    const file<Calls> closed_at_end(calls_, opened, 0, path);
    std::string bytes;
    std::string buffer(std::size_t{1} << 16, '\0');
    while (true) {
      const call_result read = calls_.Read(opened, buffer.data(), buffer.size());
      if (!read) return SystemError(storage_call::kRead, path, bytes.size(), read.error);
      if (read.value == 0) return bytes;
      bytes.append(buffer, 0, static_cast<std::size_t>(read.value));
    }
  }

  boost::leaf::result<void> Rename(const std::filesystem::path& from,
                                   const std::filesystem::path& to) const {
    return Check(storage_call::kRename, from, calls_.Rename(from.string(), to.string()));
  }

  // Removes a file if it exists.
  boost::leaf::result<void> Remove(const std::filesystem::path& path) const {
    return Check(storage_call::kRemove, path, calls_.Remove(path.string()));
  }

  // Returns the names of the entries of a folder.
  boost::leaf::result<std::vector<std::string>> List(const std::filesystem::path& path) const {
    std::vector<std::string> names;
    BOOST_LEAF_CHECK(Check(storage_call::kList, path, calls_.List(path.string(), names)));
    return names;
  }

  boost::leaf::result<void> CreateFolders(const std::filesystem::path& path) const {
    return Check(storage_call::kCreateFolder, path, calls_.CreateFolders(path.string()));
  }

  // Makes the entries of a folder durable: files created, renamed or removed in it.
  boost::leaf::result<void> SyncFolder(const std::filesystem::path& path) const {
    return Check(storage_call::kSyncFolder, path, calls_.SyncFolder(path.string()));
  }

  // The bytes that may still be written to the file system; empty if it doesn't tell.
  std::optional<std::uint64_t> FreeBytes(const std::filesystem::path& path) const {
    const call_result free = calls_.FreeBytes(path.string());
    if (!free) return std::nullopt;
    return static_cast<std::uint64_t>(free.value);
  }

 private:
  static boost::leaf::result<void> Check(storage_call call, const std::filesystem::path& path,
                                         call_result result) {
    if (!result) return SystemError(call, path, 0, result.error);
    return {};
  }

  boost::leaf::result<int> OpenDescriptor(const std::filesystem::path& path, open_mode mode) const {
    const call_result opened = calls_.Open(path.string(), mode);
    if (!opened) return SystemError(storage_call::kOpen, path, 0, opened.error);
    return static_cast<int>(opened.value);
  }

  boost::leaf::result<file<Calls>> Open(const std::filesystem::path& path, open_mode mode) const {
    BOOST_LEAF_AUTO(descriptor, OpenDescriptor(path, mode));
    const call_result size = calls_.Size(descriptor);
    if (!size) {
      calls_.Close(descriptor);
      return SystemError(storage_call::kStatus, path, 0, size.error);
    }
    return file<Calls>(calls_, descriptor, static_cast<std::uint64_t>(size.value), path);
  }

  Calls calls_;
};

}  // namespace cornelweir::storage::internal

#endif  // CORNELWEIR_SRC_STORAGE_FILE_SYSTEM_H_
