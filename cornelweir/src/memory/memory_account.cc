#include "cornelweir/src/memory/memory_account.h"

namespace cornelweir::memory {

bool memory_account::MayGrow(memory_use use, kernel::byte_count present,
                             kernel::byte_count wanted) const {
  const std::int64_t added = wanted.value() - present.value();
  if (added <= 0) return true;
  const bool is_small = wanted <= kMaxSmallHold;
  const std::int64_t reserve = is_small ? 0 : limit_.value() * kReservePercent / 100;
  const std::int64_t use_limit = limit_.value() * kMaxUsePercent / 100;
  if (!is_small && taken(use).value() + added > use_limit) return false;
  return taken_.value() + added <= limit_.value() - reserve;
}

void memory_account::Add(memory_use use, std::int64_t bytes) {
  kernel::byte_count& taken_by_use = uses_[Index(use)].taken;
  taken_by_use = kernel::byte_count(taken_by_use.value() + bytes);
  taken_ = kernel::byte_count(taken_.value() + bytes);
}

}  // namespace cornelweir::memory
