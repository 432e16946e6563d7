#ifndef CORNELWEIR_SRC_ADMISSION_TRANSFER_WINDOW_H_
#define CORNELWEIR_SRC_ADMISSION_TRANSFER_WINDOW_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// Congestion window: how many bytes of large bodies a daemon may have in flight to all other
// daemons together. Large bodies and small messages share the network of a host, and bytes queued
// there delay every small message behind them. The window grows while pieces are acknowledged
// without queueing delay and shrinks when the delay rises. It also measures the rate at which
// bodies are sent.
class transfer_window {
 public:
  // Whether another piece may be sent.
  bool HasRoom() const { return outstanding_ < window_; }
  // The size of the next piece in bytes, small enough to let other messages through in between.
  std::size_t PieceBytes() const;

  // Records that a piece was handed to the network.
  void OnSent(std::size_t bytes, kernel::time_point now);
  // Records that the receiver acknowledged a piece; delay is the time since it was sent.
  void OnAcknowledged(std::size_t bytes, kernel::microseconds delay, kernel::time_point now);
  // Records that the receiver acknowledged a piece that was sent on its credit. The delay of such a
  // piece is that of the receiver's link, so it says nothing of the link of this host.
  void OnAcknowledgedOnCredit(std::size_t bytes) { OnLost(bytes); }
  // Records that no acknowledgement of a piece is expected: its link was closed or is stalled.
  void OnLost(std::size_t bytes);

  // Expected time to send this many bytes; zero while the rate is unknown.
  kernel::microseconds EstimatedTransferTime(std::size_t bytes) const;
  std::size_t outstanding() const { return outstanding_; }
  std::size_t window() const { return window_; }
  // The delay of the last acknowledged piece.
  kernel::microseconds last_delay() const { return last_delay_; }
  // 0 if unknown.
  double bytes_per_second() const { return bytes_per_second_; }

 private:
  void UpdateRate(std::size_t bytes, kernel::time_point now);

  std::size_t window_ = kInitialWindowBytes;
  std::size_t outstanding_ = 0;
  kernel::time_point last_decrease_;
  kernel::microseconds last_delay_{};
  // Start of the current rate sample. Bytes were outstanding throughout the sample.
  kernel::time_point sample_start_;
  std::size_t sample_bytes_ = 0;
  // 0 if unknown.
  double bytes_per_second_ = 0;

  static constexpr std::size_t kInitialWindowBytes = std::size_t{64} << 10;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_TRANSFER_WINDOW_H_
