#ifndef CORNELWEIR_SRC_PROTOCOL_PART_ASSEMBLER_H_
#define CORNELWEIR_SRC_PROTOCOL_PART_ASSEMBLER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "cornelweir/src/protocol/limits.h"
#include "cornelweir/src/protocol/message_part.h"

namespace cornelweir::protocol {

// Joins parts that arrive in order. Holds at most kMaxPartedBytes.
class part_assembler {
 public:
  // Adds a part. Returns the bytes once they are complete. A first part replaces the parts that are
  // held; any other part that does not follow the last one discards them and is ignored.
  std::optional<std::string> Add(const message_part& part) {
    if (part.index == 0) {
      Clear();
      count_ = part.count;
    }
    const bool follows = part.count == count_ && part.index == next_ && part.index < part.count &&
                         bytes_.size() + part.bytes.bytes.size() <= kMaxPartedBytes;
    if (!follows) {
      Clear();
      return std::nullopt;
    }
    bytes_ += part.bytes.bytes;
    ++next_;
    if (next_ < count_) return std::nullopt;
    std::string whole = std::move(bytes_);
    Clear();
    return whole;
  }

  void Clear() {
    bytes_ = {};
    next_ = count_ = 0;
  }

  bool empty() const { return next_ == 0; }

 private:
  std::string bytes_;
  std::uint32_t next_ = 0;
  std::uint32_t count_ = 0;
};

}  // namespace cornelweir::protocol

#endif  // CORNELWEIR_SRC_PROTOCOL_PART_ASSEMBLER_H_
