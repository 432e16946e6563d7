#ifndef CORNELWEIR_SRC_STORAGE_POSIX_CALLS_H_
#define CORNELWEIR_SRC_STORAGE_POSIX_CALLS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "cornelweir/src/storage/file_calls.h"

namespace cornelweir::storage {

// The calls of the operating system. A call that a signal interrupts is made again.
class posix_calls {
 public:
  call_result Open(const std::string& path, open_mode mode) const;
  void Close(int descriptor) const;
  call_result Size(int descriptor) const;
  call_result Identity(int descriptor, file_identity& identity) const;
  call_result Read(int descriptor, char* buffer, std::size_t size) const;
  call_result Write(int descriptor, std::string_view bytes) const;
  // Makes the content of the file durable (fdatasync).
  call_result Sync(int descriptor) const;
  call_result Truncate(int descriptor, std::size_t size) const;
  // Locks the file against other processes until it is closed; EWOULDBLOCK if one has locked it.
  call_result Lock(int descriptor) const;
  call_result Exists(const std::string& path) const;
  call_result Rename(const std::string& from, const std::string& to) const;
  // Removes a file if it exists.
  call_result Remove(const std::string& path) const;
  call_result List(const std::string& path, std::vector<std::string>& names) const;
  call_result CreateFolders(const std::string& path) const;
  // Makes the entries of a folder durable: files created, renamed or removed in it.
  call_result SyncFolder(const std::string& path) const;
  // The bytes that this process may still write to the file system.
  call_result FreeBytes(const std::string& path) const;
};

static_assert(file_calls<posix_calls>);

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_POSIX_CALLS_H_
