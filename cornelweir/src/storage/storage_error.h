#ifndef CORNELWEIR_SRC_STORAGE_STORAGE_ERROR_H_
#define CORNELWEIR_SRC_STORAGE_STORAGE_ERROR_H_

#include <cstdint>
#include <string>

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
  // An earlier write or sync failed; the store rejects further writes until it is opened again.
  kFailed
};

// Why storing or reading data failed, with the file and the offset in bytes at which it failed.
struct storage_error {
  storage_fault fault = storage_fault::kSystem;
  std::string file;
  std::uint64_t offset = 0;
  // The errno value of the failed call; 0 if the operating system reported no error.
  int system_error = 0;
};

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_STORAGE_ERROR_H_
