#include "cornelweir/src/admission/arrival_rate.h"

#include <chrono>
#include <cstdint>

#include "cornelweir/src/admission/transfer_limits.h"

namespace cornelweir::admission {
namespace internal {

constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace internal

void arrival_rate::OnArrived(std::size_t bytes, bool more_to_come, kernel::time_point now) {
  if (!sample_start_) {
    if (more_to_come) sample_start_ = now;
    sample_bytes_ = 0;
    return;
  }
  sample_bytes_ += bytes;
  const kernel::microseconds elapsed = now - *sample_start_;
  const bool enough = elapsed >= kArrivalSampleInterval ||
                      (!more_to_come && sample_bytes_ >= kMinArrivalSampleBytes);
  if (enough && elapsed.count() > 0) {
    const double sample = static_cast<double>(sample_bytes_) * internal::kMicrosecondsPerSecond /
                          static_cast<double>(elapsed.count());
    const double weight = sample > bytes_per_second_ ? kHigherRateWeight : kLowerRateWeight;
    bytes_per_second_ =
        known() ? bytes_per_second_ + weight * (sample - bytes_per_second_) : sample;
    sample_start_ = sampled_at_ = now;
    sample_bytes_ = 0;
  }
  if (!more_to_come) sample_start_.reset();
}

void arrival_rate::ForgetIfOld(kernel::time_point now) {
  if (now - sampled_at_ > kMaxRateAge) bytes_per_second_ = 0;
}

kernel::microseconds arrival_rate::TimeFor(std::size_t bytes) const {
  if (!known()) return {};
  return kernel::microseconds(static_cast<std::int64_t>(
      static_cast<double>(bytes) * internal::kMicrosecondsPerSecond / bytes_per_second_));
}

std::size_t arrival_rate::BytesIn(kernel::microseconds duration) const {
  return static_cast<std::size_t>(bytes_per_second_ *
                                  std::chrono::duration<double>(duration).count());
}

}  // namespace cornelweir::admission
