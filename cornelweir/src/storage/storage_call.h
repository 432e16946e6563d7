#ifndef CORNELWEIR_SRC_STORAGE_STORAGE_CALL_H_
#define CORNELWEIR_SRC_STORAGE_STORAGE_CALL_H_

#include <cstdint>
#include <string_view>

namespace cornelweir::storage {

// The calls on files and folders that can fail.
enum class storage_call : std::uint8_t {
  // The content of a file was rejected; no call failed.
  kNone,
  kOpen,
  kStatus,
  kRead,
  kWrite,
  kSync,
  kTruncate,
  kRename,
  kRemove,
  kList,
  kCreateFolder,
  kSyncFolder,
  kLock
};

// The name of a call in log lines and status reports.
std::string_view CallName(storage_call call);

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_STORAGE_CALL_H_
