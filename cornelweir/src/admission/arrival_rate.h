#ifndef CORNELWEIR_SRC_ADMISSION_ARRIVAL_RATE_H_
#define CORNELWEIR_SRC_ADMISSION_ARRIVAL_RATE_H_

#include <cstddef>
#include <optional>

#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::admission {

// Moving average of the rate at which bytes arrive while more of them are to come. This is the rate
// of the narrowest link if enough bytes are on the way to keep it busy.
class arrival_rate {
 public:
  // Records an arrival. more_to_come is false if nothing else is expected now.
  void OnArrived(std::size_t bytes, bool more_to_come, kernel::time_point now);
  // Ends the current sample, because nothing is expected from now on.
  void OnIdle() { sample_start_.reset(); }
  // Forgets the rate if the last sample is older than kMaxRateAge.
  void ForgetIfOld(kernel::time_point now);

  bool known() const { return bytes_per_second_ > 0; }
  // 0 if unknown.
  double bytes_per_second() const { return bytes_per_second_; }
  // Expected time until this many bytes have arrived; zero while the rate is unknown.
  kernel::microseconds TimeFor(std::size_t bytes) const;
  // The bytes that arrive in this time. Requires a known rate.
  std::size_t BytesIn(kernel::microseconds duration) const;

 private:
  // An arrival since which more bytes were to come all the time.
  std::optional<kernel::time_point> sample_start_;
  // Bytes that arrived after sample_start_.
  std::size_t sample_bytes_ = 0;
  double bytes_per_second_ = 0;
  kernel::time_point sampled_at_;
};

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_SRC_ADMISSION_ARRIVAL_RATE_H_
