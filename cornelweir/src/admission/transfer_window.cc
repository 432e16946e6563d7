#include "cornelweir/src/admission/transfer_window.h"

#include <algorithm>
#include <chrono>

#include "cornelweir/src/admission/limits.h"

namespace cornelweir::admission {

std::size_t transfer_window::PieceBytes() const {
  return std::clamp(window_ / kPiecesPerWindow, kMinPieceBytes, kMaxPieceBytes);
}

void transfer_window::OnSent(std::size_t bytes, kernel::time_point now) {
  if (outstanding_ == 0) {
    sample_start_ = now;
    sample_bytes_ = 0;
  }
  outstanding_ += bytes;
}

void transfer_window::OnAcknowledged(std::size_t bytes, kernel::microseconds delay,
                                     kernel::time_point now) {
  outstanding_ -= std::min(outstanding_, bytes);
  last_delay_ = delay;
  UpdateRate(bytes, now);
  if (delay < kUncongestedDelay) {
    window_ = std::min(window_ + bytes, kMaxWindowBytes);
  } else if (delay > kCongestedDelay && now - last_decrease_ > delay) {
    window_ = std::max(window_ / 2, kMinWindowBytes);
    last_decrease_ = now;
  }
}

void transfer_window::OnLost(std::size_t bytes) { outstanding_ -= std::min(outstanding_, bytes); }

void transfer_window::UpdateRate(std::size_t bytes, kernel::time_point now) {
  sample_bytes_ += bytes;
  const double seconds = std::chrono::duration<double>(now - sample_start_).count();
  const bool enough = now - sample_start_ >= kRateSampleInterval || outstanding_ == 0;
  if (!enough || seconds <= 0) return;
  const double sample = static_cast<double>(sample_bytes_) / seconds;
  bytes_per_second_ = bytes_per_second_ == 0
                          ? sample
                          : bytes_per_second_ + kRateSmoothingFactor * (sample - bytes_per_second_);
  sample_start_ = now;
  sample_bytes_ = 0;
}

kernel::microseconds transfer_window::EstimatedTransferTime(std::size_t bytes) const {
  if (bytes_per_second_ <= 0) return kernel::microseconds::zero();
  constexpr double kMicrosecondsPerSecond = 1e6;
  return kernel::microseconds(static_cast<std::int64_t>(
      static_cast<double>(bytes) / bytes_per_second_ * kMicrosecondsPerSecond));
}

}  // namespace cornelweir::admission
