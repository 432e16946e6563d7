#ifndef CORNELWEIR_SRC_KERNEL_QUANTITY_H_
#define CORNELWEIR_SRC_KERNEL_QUANTITY_H_

#include <chrono>
#include <cstdint>

#include "cornelweir/src/kernel/strong_id.h"

namespace cornelweir::kernel {

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;
using nanoseconds = std::chrono::nanoseconds;

// Converts a duration to whole milliseconds, rounded towards zero.
constexpr milliseconds ToMilliseconds(microseconds duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

// A number of requests: in progress, queued or allowed.
using request_count = strong_id<struct request_count_tag, std::int64_t>;
// A number of requests that may have a fraction, and such a number a second; both in thousandths.
using request_amount = strong_id<struct request_amount_tag, std::int64_t>;
using request_rate = strong_id<struct request_rate_tag, std::int64_t>;
inline constexpr double kRateUnitsPerRequest = 1'000;
// A share of a service's traffic relative to the other weights of the same service.
using weight = strong_id<struct weight_tag, std::int64_t>;
// A fraction of a service's traffic, in thousandths.
using traffic_share = strong_id<struct traffic_share_tag, std::int64_t>;
inline constexpr traffic_share kNoTraffic{0};
inline constexpr traffic_share kAllTraffic{1'000};
// A number of bytes.
using byte_count = strong_id<struct byte_count_tag, std::int64_t>;

constexpr double Requests(request_amount amount) {
  return static_cast<double>(amount.value()) / kRateUnitsPerRequest;
}

constexpr double RequestsPerSecond(request_rate rate) {
  return static_cast<double>(rate.value()) / kRateUnitsPerRequest;
}

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_QUANTITY_H_
