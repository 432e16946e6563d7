#include "cornelweir/src/storage/identity_file.h"

#include <cstdint>
#include <random>

namespace cornelweir::storage::internal {

kernel::disk_id RandomDiskId() {
  std::random_device device;
  std::uint64_t value = 0;
  while (value == 0) value = (std::uint64_t{device()} << 32U) | device();
  return kernel::disk_id(value);
}

}  // namespace cornelweir::storage::internal
