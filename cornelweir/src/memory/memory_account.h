#ifndef CORNELWEIR_SRC_MEMORY_MEMORY_ACCOUNT_H_
#define CORNELWEIR_SRC_MEMORY_MEMORY_ACCOUNT_H_

#include <array>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/memory/limits.h"
#include "cornelweir/src/memory/memory_use.h"

namespace cornelweir::memory {

// The bytes that a process may hold for others, and those that it holds. Bytes are taken with a
// memory_hold, before they are asked for. Has no clock and does no input or output.
class memory_account {
 public:
  explicit memory_account(kernel::byte_count limit) : limit_(limit) {}
  memory_account(const memory_account&) = delete;
  memory_account& operator=(const memory_account&) = delete;

  // The account of a process on a host with this much memory.
  static kernel::byte_count LimitFor(std::int64_t memory_mb) {
    return kernel::byte_count(memory_mb * kBytesPerMb * kAccountPercent / 100);
  }

  kernel::byte_count limit() const { return limit_; }
  kernel::byte_count taken() const { return taken_; }
  kernel::byte_count taken(memory_use use) const { return uses_[Index(use)].taken; }
  // How often a hold for this use was refused.
  std::uint64_t refusals(memory_use use) const { return uses_[Index(use)].refusals; }
  // Whether those who hold most for longest should give way.
  bool IsScarce() const { return ExcessBytes() > kernel::byte_count(0); }
  // How much must be returned until the account is not scarce any more; not positive if it is not.
  kernel::byte_count ExcessBytes() const {
    return kernel::byte_count(taken_.value() - limit_.value() * kScarcePercent / 100);
  }
  // Whether a hold of this size could be taken now.
  bool HasRoom(memory_use use, kernel::byte_count bytes) const {
    return MayGrow(use, kernel::byte_count(0), bytes);
  }

 private:
  friend class memory_hold;

  struct use_state {
    kernel::byte_count taken{0};
    std::uint64_t refusals = 0;
  };

  static std::size_t Index(memory_use use) { return static_cast<std::size_t>(use); }
  // Whether a hold may grow to the wanted size.
  bool MayGrow(memory_use use, kernel::byte_count present, kernel::byte_count wanted) const;
  void Add(memory_use use, std::int64_t bytes);
  void CountRefusal(memory_use use) { ++uses_[Index(use)].refusals; }

  kernel::byte_count limit_;
  kernel::byte_count taken_{0};
  std::array<use_state, kMemoryUses> uses_;
};

}  // namespace cornelweir::memory

#endif  // CORNELWEIR_SRC_MEMORY_MEMORY_ACCOUNT_H_
