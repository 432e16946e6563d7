#ifndef CORNELWEIR_SRC_DISTRIBUTION_PIECE_ASSEMBLER_H_
#define CORNELWEIR_SRC_DISTRIBUTION_PIECE_ASSEMBLER_H_

#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/estimated_size.h"
#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/limits.h"

namespace cornelweir::distribution::internal {

// Reassembles the pieces of one transfer, which may arrive in any order. Holds one transfer
// at a time and at most kMaxStagedBytes of it.
template <class Message, class Element>
class piece_assembler {
 public:
  explicit piece_assembler(std::vector<Element> Message::*list) : list_(list) {}

  // Adds a piece. Returns the whole message once all pieces have arrived. A piece of another
  // transfer discards the pieces held so far. Ignores invalid and repeated pieces.
  std::optional<Message> Add(const Message& piece) {
    const std::uint32_t count = piece.pieces.value();
    if (count == 0 || count > kMaxPieces || piece.piece >= piece.pieces) return std::nullopt;
    if (count == 1) return piece;
    if (pieces_.empty() || transfer_ != piece.transfer || piece_count_ != count) {
      Clear();
      transfer_ = piece.transfer;
      piece_count_ = count;
    }
    const std::int64_t size = EstimatedSize(piece).value();
    if (byte_size_ + size > kMaxStagedBytes.value()) {
      Clear();
      return std::nullopt;
    }
    if (!pieces_.emplace(piece.piece, piece).second) return std::nullopt;
    byte_size_ += size;
    if (pieces_.size() < piece_count_) return std::nullopt;
    Message whole = std::move(pieces_.begin()->second);
    for (auto next = std::next(pieces_.begin()); next != pieces_.end(); ++next) {
      const auto& source = std::invoke(list_, next->second);
      auto& target = std::invoke(list_, whole);
      target.insert(target.end(), source.begin(), source.end());
    }
    whole.piece = piece_number();
    whole.pieces = piece_number(1);
    Clear();
    return whole;
  }

  void Clear() {
    pieces_.clear();
    byte_size_ = 0;
  }

  kernel::byte_count size() const { return kernel::byte_count{byte_size_}; }

 private:
  std::vector<Element> Message::*list_;
  transfer_id transfer_;
  std::uint32_t piece_count_ = 0;
  std::map<piece_number, Message> pieces_;
  std::int64_t byte_size_ = 0;
};

}  // namespace cornelweir::distribution::internal

#endif  // CORNELWEIR_SRC_DISTRIBUTION_PIECE_ASSEMBLER_H_
