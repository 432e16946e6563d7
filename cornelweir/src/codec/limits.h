#ifndef CORNELWEIR_SRC_CODEC_LIMITS_H_
#define CORNELWEIR_SRC_CODEC_LIMITS_H_

#include <cstddef>

namespace cornelweir::codec {

// Bound of a message from a link, which may be malformed or hostile.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{1} << 20;
// Bound of a snapshot, and of a policy after it was inflated. The largest policy that operators can
// send has 16 MiB as JSON.
inline constexpr std::size_t kMaxStateBytes = std::size_t{64} << 20;
// The library's decoder recurses once per nesting level; messages use fewer than 10 levels.
inline constexpr std::size_t kMaxNesting = 32;

}  // namespace cornelweir::codec

#endif  // CORNELWEIR_SRC_CODEC_LIMITS_H_
