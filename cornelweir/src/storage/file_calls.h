#ifndef CORNELWEIR_SRC_STORAGE_FILE_CALLS_H_
#define CORNELWEIR_SRC_STORAGE_FILE_CALLS_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cornelweir/src/storage/file_identity.h"

namespace cornelweir::storage {

enum class open_mode : std::uint8_t {
  kRead,
  // Creates the file if it does not exist. Writes go to its end.
  kAppend,
  // Fails if the file exists. Writes go to its end.
  kCreate,
  // Writes replace the content from the beginning on.
  kOverwrite
};

// The result of a call to the operating system: a value, or the errno of the failure.
struct call_result {
  std::int64_t value = 0;
  int error = 0;

  explicit operator bool() const { return error == 0; }
};

// The calls on files and folders that the storage makes. posix_calls passes them on to the
// operating system; tests use a simulated disk instead. Descriptors and numbers of bytes are values
// of call_result, and Exists() has the value 1 or 0. Write() may write only a part.
template <class T>
concept file_calls = std::copyable<T> &&
    requires(const T& calls, const std::string& path, open_mode mode, int descriptor, char* buffer,
             std::size_t size, std::string_view bytes, file_identity& identity,
             std::vector<std::string>& names) {
  { calls.Open(path, mode) } -> std::same_as<call_result>;
  { calls.Close(descriptor) } -> std::same_as<void>;
  { calls.Size(descriptor) } -> std::same_as<call_result>;
  { calls.Identity(descriptor, identity) } -> std::same_as<call_result>;
  { calls.Read(descriptor, buffer, size) } -> std::same_as<call_result>;
  { calls.Write(descriptor, bytes) } -> std::same_as<call_result>;
  { calls.Sync(descriptor) } -> std::same_as<call_result>;
  { calls.Truncate(descriptor, size) } -> std::same_as<call_result>;
  { calls.Lock(descriptor) } -> std::same_as<call_result>;
  { calls.Exists(path) } -> std::same_as<call_result>;
  { calls.Rename(path, path) } -> std::same_as<call_result>;
  { calls.Remove(path) } -> std::same_as<call_result>;
  { calls.List(path, names) } -> std::same_as<call_result>;
  { calls.CreateFolders(path) } -> std::same_as<call_result>;
  { calls.SyncFolder(path) } -> std::same_as<call_result>;
  { calls.FreeBytes(path) } -> std::same_as<call_result>;
};

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_FILE_CALLS_H_
