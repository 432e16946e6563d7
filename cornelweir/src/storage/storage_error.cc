#include "cornelweir/src/storage/storage_error.h"

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
  switch (error.fault) {
    case storage_fault::kSystem:
    case storage_fault::kFull:
    case storage_fault::kLocked:
    case storage_fault::kFailed:
      return true;
    case storage_fault::kDamaged:
    case storage_fault::kInconsistent:
    case storage_fault::kAlreadyInitialized:
    case storage_fault::kTooLarge:
      return false;
  }
  return false;
}

}  // namespace cornelweir::storage
