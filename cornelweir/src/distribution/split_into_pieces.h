#ifndef CORNELWEIR_SRC_DISTRIBUTION_SPLIT_INTO_PIECES_H_
#define CORNELWEIR_SRC_DISTRIBUTION_SPLIT_INTO_PIECES_H_

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "cornelweir/src/distribution/estimated_size.h"
#include "cornelweir/src/distribution/ids.h"
#include "cornelweir/src/distribution/limits.h"
#include "cornelweir/src/distribution/messages.h"

namespace cornelweir::distribution::internal {

// Splits `whole` into messages of at most kMaxPieceBytes each by distributing the elements of its
// `list` member. A larger element gets a message of its own. Returns at least one message.
template <class Message, class Element>
std::vector<publisher_message> SplitIntoPieces(const Message& whole,
                                               std::vector<Element> Message::*list) {
  Message empty_message = whole;
  std::invoke(list, empty_message).clear();
  const std::int64_t base_size = EstimatedSize(empty_message).value();
  std::vector<Message> split{empty_message};
  std::int64_t size = base_size;
  for (const Element& element : std::invoke(list, whole)) {
    const std::int64_t element_size = EstimatedSize(element).value();
    if (size + element_size > kMaxPieceBytes.value() && !std::invoke(list, split.back()).empty()) {
      split.push_back(empty_message);
      size = base_size;
    }
    std::invoke(list, split.back()).push_back(element);
    size += element_size;
  }
  std::vector<publisher_message> pieces;
  const auto count = static_cast<std::uint32_t>(split.size());
  for (std::uint32_t index = 0; index < count; ++index) {
    split[index].piece = piece_number{index};
    split[index].pieces = piece_number{count};
    pieces.emplace_back(std::move(split[index]));
  }
  return pieces;
}

}  // namespace cornelweir::distribution::internal

#endif  // CORNELWEIR_SRC_DISTRIBUTION_SPLIT_INTO_PIECES_H_
