#ifndef CORNELWEIR_SRC_HTTP_WRITE_PROGRESS_H_
#define CORNELWEIR_SRC_HTTP_WRITE_PROGRESS_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::http::internal {

// Judges whether a reader takes enough bytes in a time while something is being written to it. A
// timeout that any byte renews would let it hold a response for hours.
class write_progress {
 public:
  // To be called when a write begins after there was nothing to write.
  void Begin(kernel::time_point now, std::uint64_t taken_bytes) {
    window_began_at_ = now;
    taken_at_window_ = taken_bytes;
  }

  // Whether the reader is too slow. taken_bytes counts from the start of the connection.
  bool IsTooSlow(kernel::time_point now, std::uint64_t taken_bytes, std::size_t min_bytes,
                 kernel::milliseconds time) {
    if (taken_bytes >= taken_at_window_ + min_bytes) {
      window_began_at_ = now;
      taken_at_window_ = taken_bytes;
      return false;
    }
    return now - window_began_at_ > time;
  }

 private:
  kernel::time_point window_began_at_;
  std::uint64_t taken_at_window_ = 0;
};

}  // namespace cornelweir::http::internal

#endif  // CORNELWEIR_SRC_HTTP_WRITE_PROGRESS_H_
