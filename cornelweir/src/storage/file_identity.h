#ifndef CORNELWEIR_SRC_STORAGE_FILE_IDENTITY_H_
#define CORNELWEIR_SRC_STORAGE_FILE_IDENTITY_H_

#include <cstdint>
#include <tuple>

#include "cornelweir/src/kernel/field.h"

namespace cornelweir::storage {

// Distinguishes a file from a copy of it: a copy has another inode or another creation time.
struct file_identity {
  std::uint64_t inode = 0;
  // The creation time in nanoseconds since the epoch; 0 if the file system doesn't record it.
  std::uint64_t created = 0;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"inode", &file_identity::inode},
                      kernel::field{"created", &file_identity::created}};
  }
};

// Whether both identify the same file. A creation time that is missing on one side isn't compared.
inline bool IsSameFile(const file_identity& left, const file_identity& right) {
  if (left.inode != right.inode) return false;
  return left.created == 0 || right.created == 0 || left.created == right.created;
}

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_FILE_IDENTITY_H_
