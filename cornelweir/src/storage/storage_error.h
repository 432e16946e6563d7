#ifndef CORNELWEIR_SRC_STORAGE_STORAGE_ERROR_H_
#define CORNELWEIR_SRC_STORAGE_STORAGE_ERROR_H_

#include <cstdint>
#include <string>

#include "cornelweir/src/storage/storage_call.h"

namespace cornelweir::storage {

enum class storage_fault : std::uint8_t {
  // A call to the operating system failed; storage_error::system_error has the error number.
  kSystem,
  // No space or quota is left on the file system.
  kFull,
  // A file contains bytes that differ from those that were written.
  kDamaged,
  // The files are intact but inconsistent with each other, or were written by newer code.
  kInconsistent,
  // Another process has locked the data folder.
  kLocked,
  // Bootstrap() was called for a data folder that has an identity already.
  kAlreadyInitialized,
  // A record or a snapshot exceeds its size limit.
  kTooLarge,
  // An earlier write or sync failed; the store rejects further writes until it is loaded again.
  kFailed
};

// Why storing or reading data failed: the file, the offset in bytes and the call.
struct storage_error {
  storage_fault fault = storage_fault::kSystem;
  std::string file;
  std::uint64_t offset = 0;
  // The errno value of the failed call; 0 if the operating system reported no error.
  int system_error = 0;
  storage_call call = storage_call::kNone;
};

// Whether the same call may succeed later without a change of the files: whatever a call to the
// operating system returned, and a lock that an earlier process has not given back yet. An error
// number alone does not tell a state that passes from one that lasts.
bool IsTransient(const storage_error& error);

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_STORAGE_ERROR_H_
