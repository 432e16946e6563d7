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
    measured_from_ = now;
    measured_bytes_ = 0;
  }
  outstanding_ += bytes;
}

void transfer_window::OnAcknowledged(std::size_t bytes, kernel::microseconds delay,
                                     kernel::time_point now) {
  outstanding_ -= std::min(outstanding_, bytes);
  NoteRate(bytes, now);
  if (delay < kUndelayedTransfer) {
    window_ = std::min(window_ + bytes, kMaxWindowBytes);
  } else if (delay > kDelayedTransfer && now - shrunk_at_ > delay) {
    window_ = std::max(window_ / 2, kMinWindowBytes);
    shrunk_at_ = now;
  }
}

void transfer_window::OnLost(std::size_t bytes) { outstanding_ -= std::min(outstanding_, bytes); }

void transfer_window::NoteRate(std::size_t bytes, kernel::time_point now) {
  measured_bytes_ += bytes;
  const double seconds = std::chrono::duration<double>(now - measured_from_).count();
  const bool enough = now - measured_from_ >= kRateSpan || outstanding_ == 0;
  if (!enough || seconds <= 0) return;
  const double sample = static_cast<double>(measured_bytes_) / seconds;
  rate_ = rate_ == 0 ? sample : rate_ + kRateWeight * (sample - rate_);
  measured_from_ = now;
  measured_bytes_ = 0;
}

kernel::microseconds transfer_window::EstimatedTransferTime(std::size_t bytes) const {
  if (rate_ <= 0) return kernel::microseconds::zero();
  constexpr double kMicrosecondsPerSecond = 1e6;
  return kernel::microseconds(
      static_cast<std::int64_t>(static_cast<double>(bytes) / rate_ * kMicrosecondsPerSecond));
}

}  // namespace cornelweir::admission
