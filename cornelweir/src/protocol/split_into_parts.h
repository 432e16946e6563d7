#ifndef CORNELWEIR_SRC_PROTOCOL_SPLIT_INTO_PARTS_H_
#define CORNELWEIR_SRC_PROTOCOL_SPLIT_INTO_PARTS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "cornelweir/src/protocol/limits.h"
#include "cornelweir/src/protocol/message_part.h"

namespace cornelweir::protocol {

// Splits bytes into parts of at most kPartBytes. Returns at least one part.
inline std::vector<message_part> SplitIntoParts(std::string_view bytes) {
  const std::size_t count = std::max<std::size_t>(1, (bytes.size() + kPartBytes - 1) / kPartBytes);
  std::vector<message_part> parts(count);
  for (std::size_t i = 0; i < count; ++i) {
    parts[i].index = static_cast<std::uint32_t>(i);
    parts[i].count = static_cast<std::uint32_t>(count);
    parts[i].bytes.bytes = bytes.substr(i * kPartBytes, kPartBytes);
  }
  return parts;
}

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_SPLIT_INTO_PARTS_H_
