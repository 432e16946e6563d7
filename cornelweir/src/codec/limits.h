#ifndef CORNELWEIR_SRC_CODEC_LIMITS_H_
#define CORNELWEIR_SRC_CODEC_LIMITS_H_

#include <cstddef>

namespace cornelweir::codec {

inline constexpr std::size_t kMaxMessageBytes = std::size_t{1} << 20;
// The library's decoder recurses once per nesting level; messages use fewer than 10 levels.
inline constexpr std::size_t kMaxNesting = 32;

}  // namespace cornelweir::codec

#endif  // CORNELWEIR_SRC_CODEC_LIMITS_H_
