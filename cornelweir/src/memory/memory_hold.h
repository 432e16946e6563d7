#ifndef CORNELWEIR_SRC_MEMORY_MEMORY_HOLD_H_
#define CORNELWEIR_SRC_MEMORY_MEMORY_HOLD_H_

#include <memory>
#include <utility>

#include "cornelweir/src/memory/memory_account.h"

namespace cornelweir::memory {

// Bytes that are taken from an account until the hold is destroyed. It travels with the bytes: from
// the upstream's connection to the link or the caller that they are for. The account is shared,
// since a connection may outlive the plug-in that opened it.
class memory_hold {
 public:
  memory_hold(std::shared_ptr<memory_account> account, memory_use use)
      : account_(std::move(account)), use_(use) {}
  memory_hold(const memory_hold&) = delete;
  memory_hold& operator=(const memory_hold&) = delete;
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~memory_hold() { account_->Add(use_, -bytes_.value()); }

  kernel::byte_count bytes() const { return bytes_; }
  memory_use use() const { return use_; }

  // Whether Resize() would succeed. Counts no refusal.
  bool CanResize(kernel::byte_count bytes) const { return account_->MayGrow(use_, bytes_, bytes); }
  // Changes the size. Returns false, and leaves it as it is, if the account has no room; shrinking
  // always succeeds.
  bool Resize(kernel::byte_count bytes) {
    if (!account_->MayGrow(use_, bytes_, bytes)) {
      account_->CountRefusal(use_);
      return false;
    }
    account_->Add(use_, bytes.value() - bytes_.value());
    bytes_ = bytes;
    return true;
  }

  // Counts the bytes for another use from now on, whatever that use has taken.
  void MoveTo(memory_use use) {
    account_->Add(use_, -bytes_.value());
    use_ = use;
    account_->Add(use_, bytes_.value());
  }

 private:
  std::shared_ptr<memory_account> account_;
  memory_use use_;
  kernel::byte_count bytes_{0};
};

}  // namespace cornelweir::memory

#endif  // CORNELWEIR_SRC_MEMORY_MEMORY_HOLD_H_
