#ifndef CORNELWEIR_SRC_TRANSPORT_LIMITS_H_
#define CORNELWEIR_SRC_TRANSPORT_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace cornelweir::transport {

inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 20;
// A peer that does not read for so long that this much is queued is disconnected.
inline constexpr std::size_t kMaxQueuedBytes = std::size_t{8} << 20;
inline constexpr std::size_t kReadBufferBytes = std::size_t{16} << 10;
inline constexpr std::chrono::milliseconds kOpenTimeout{3000};
inline constexpr std::size_t kMaxLinks = 4096;

}  // namespace cornelweir::transport

#endif  // CORNELWEIR_SRC_TRANSPORT_LIMITS_H_
