#ifndef CORNELWEIR_SRC_STORAGE_STORAGE_ERROR_H_
#define CORNELWEIR_SRC_STORAGE_STORAGE_ERROR_H_

#include <cstdint>
#include <string>

namespace cornelweir::storage {

enum class storage_fault : std::uint8_t {
  // A call to the operating system failed; see system_error.
  kSystem,
  // No space is left for data.
  kFull,
  // Bytes in the middle of a file are not those that were written.
  kDamaged,
  // The files are intact but don't fit together, or were written by newer code.
  kInconsistent,
  // Another process uses the data folder.
  kLocked,
  // Bootstrap was asked for a data folder that has an identity.
  kAlreadyInitialized,
  // A record or a snapshot is larger than its limit.
  kTooLarge,
  // An earlier call failed; the store accepts nothing more until it is opened again.
  kFailed
};

// Why data could not be stored or read, and where.
struct storage_error {
  storage_fault fault = storage_fault::kSystem;
  std::string file;
  std::uint64_t offset = 0;
  int system_error = 0;
};

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_STORAGE_ERROR_H_
