#ifndef CORNELWEIR_SRC_PROTOCOL_MESSAGE_PART_H_
#define CORNELWEIR_SRC_PROTOCOL_MESSAGE_PART_H_

#include <cstdint>
#include <tuple>

#include "cornelweir/kernel.h"

namespace cornelweir::protocol {

// One part of bytes that are too large for one message or log entry.
struct message_part {
  std::uint32_t index = 0;
  std::uint32_t count = 1;
  kernel::byte_string bytes;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"index", &message_part::index},
                      kernel::field{"count", &message_part::count},
                      kernel::field{"bytes", &message_part::bytes}};
  }
  friend bool operator==(const message_part&, const message_part&) = default;
};

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_MESSAGE_PART_H_
