#ifndef CORNELWEIR_SRC_HTTP_HELD_TEXT_H_
#define CORNELWEIR_SRC_HTTP_HELD_TEXT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "cornelweir/src/memory/memory_hold.h"

namespace cornelweir::http {

// Takes room for a text that several responses to operators share. The room is given back when the
// last of them is sent or dropped. Returns null if there is no room.
inline std::shared_ptr<const std::string> HoldText(std::shared_ptr<memory::memory_account> account,
                                                   std::string text) {
  auto hold = std::make_shared<memory::memory_hold>(std::move(account),
                                                    memory::memory_use::kOperatorResponses);
  if (!hold->Resize(kernel::byte_count(static_cast<std::int64_t>(text.size())))) return nullptr;
  // The deleter owns the hold, so that both end together.
  return std::shared_ptr<const std::string>(new std::string(std::move(text)),
                                            [hold](const std::string* sent) { delete sent; });
}

}  // namespace cornelweir::http

#endif  // CORNELWEIR_SRC_HTTP_HELD_TEXT_H_
