#include "cornelweir/src/storage/storage_error.h"

#include <algorithm>
#include <array>
#include <cerrno>

namespace cornelweir::storage {

std::string_view CallName(storage_call call) {
  switch (call) {
    case storage_call::kNone:
      return "none";
    case storage_call::kOpen:
      return "open";
    case storage_call::kStatus:
      return "status";
    case storage_call::kRead:
      return "read";
    case storage_call::kWrite:
      return "write";
    case storage_call::kSync:
      return "sync";
    case storage_call::kTruncate:
      return "truncate";
    case storage_call::kRename:
      return "rename";
    case storage_call::kRemove:
      return "remove";
    case storage_call::kList:
      return "list";
    case storage_call::kCreateFolder:
      return "create-folder";
    case storage_call::kSyncFolder:
      return "sync-folder";
    case storage_call::kLock:
      return "lock";
  }
  return "unknown";
}

bool IsTransient(const storage_error& error) {
  if (error.fault == storage_fault::kFull) return true;
  if (error.fault != storage_fault::kSystem) return false;
  constexpr std::array kTransientErrors{EIO,    EROFS,  ENOMEM, EMFILE,
                                        ENFILE, EAGAIN, EINTR,  ETIMEDOUT};
  return std::find(kTransientErrors.begin(), kTransientErrors.end(), error.system_error) !=
         kTransientErrors.end();
}

}  // namespace cornelweir::storage
