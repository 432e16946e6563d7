#ifndef CORNELWEIR_SRC_ADMISSION_TRANSFER_WINDOW_H_
#define CORNELWEIR_SRC_ADMISSION_TRANSFER_WINDOW_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// How many bytes of large bodies a daemon may have on its way to all other daemons together. The
// network of a host is shared by large bodies and small messages; whatever waits in it for its turn
// delays every small message behind it. The window grows while pieces arrive without delay, and
// shrinks when they begin to wait. It also learns how fast bodies leave.
class transfer_window {
 public:
  bool HasRoom() const { return outstanding_ < window_; }
  // The size of the next piece: small enough that other messages get in between.
  std::size_t PieceBytes() const;

  void OnSent(std::size_t bytes, kernel::time_point now);
  // The receiver has taken a piece that was sent so long ago.
  void OnAcknowledged(std::size_t bytes, kernel::microseconds delay, kernel::time_point now);
  // A piece won't be taken, or not soon: its link was closed or does not answer.
  void OnLost(std::size_t bytes);

  // How long so many bytes take to leave; zero while that is unknown.
  kernel::microseconds EstimatedTransferTime(std::size_t bytes) const;
  std::size_t outstanding() const { return outstanding_; }
  std::size_t window() const { return window_; }

 private:
  void NoteRate(std::size_t bytes, kernel::time_point now);

  std::size_t window_ = kFirstWindowBytes;
  std::size_t outstanding_ = 0;
  kernel::time_point shrunk_at_;
  // The span over which the rate is measured next; bytes were outstanding all the while.
  kernel::time_point measured_from_;
  std::size_t measured_bytes_ = 0;
  // Bytes a second; 0 if unknown.
  double rate_ = 0;

  static constexpr std::size_t kFirstWindowBytes = std::size_t{64} << 10;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_TRANSFER_WINDOW_H_
