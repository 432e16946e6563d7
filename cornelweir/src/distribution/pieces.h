#ifndef CORNELWEIR_SRC_DISTRIBUTION_PIECES_H_
#define CORNELWEIR_SRC_DISTRIBUTION_PIECES_H_

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/estimated_size.h"
#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/limits.h"
#include "cornelweir/src/distribution/messages.h"

namespace cornelweir::distribution::internal {

// Cuts the list that Message holds at list into messages of at most kMaxPieceBytes each, or of one
// element where that is larger. There is always at least one message.
template <class Message, class Element>
std::vector<downstream_message> CutIntoPieces(const Message& whole,
                                              std::vector<Element> Message::*list) {
  Message frame = whole;
  std::invoke(list, frame).clear();
  const std::int64_t frame_size = EstimatedSize(frame).value();
  std::vector<Message> cut{frame};
  std::int64_t size = frame_size;
  for (const Element& element : std::invoke(list, whole)) {
    const std::int64_t added = EstimatedSize(element).value();
    if (size + added > kMaxPieceBytes.value() && !std::invoke(list, cut.back()).empty()) {
      cut.push_back(frame);
      size = frame_size;
    }
    std::invoke(list, cut.back()).push_back(element);
    size += added;
  }
  std::vector<downstream_message> pieces;
  const auto count = static_cast<std::uint32_t>(cut.size());
  for (std::uint32_t index = 0; index < count; ++index) {
    cut[index].piece = piece_number{index};
    cut[index].pieces = piece_number{count};
    pieces.emplace_back(std::move(cut[index]));
  }
  return pieces;
}

}  // namespace cornelweir::distribution::internal

#endif  // CORNELWEIR_SRC_DISTRIBUTION_PIECES_H_
