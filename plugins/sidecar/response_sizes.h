#ifndef CORNELWEIR_PLUGINS_SIDECAR_RESPONSE_SIZES_H_
#define CORNELWEIR_PLUGINS_SIDECAR_RESPONSE_SIZES_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "cornelweir/kernel.h"

namespace cornelweir::plugins::sidecar {

// Estimates the size of a response from the latest ones of its route: their maximum, which decays
// with each smaller one, so that a single large response does not keep memory from the route for
// long.
class response_sizes {
 public:
  kernel::byte_count Expected(const kernel::route_name& route) const {
    const auto found = largest_.find(route);
    return found == largest_.end() ? kUnknownSize : kernel::byte_count(found->second);
  }

  void OnResponse(const kernel::route_name& route, std::size_t body_bytes) {
    const auto bytes = static_cast<std::int64_t>(body_bytes);
    std::int64_t& largest = largest_.try_emplace(route, bytes).first->second;
    largest = bytes >= largest ? bytes : largest - (largest - bytes) / kDecayDivisor;
  }

 private:
  static constexpr kernel::byte_count kUnknownSize{64 << 10};
  // A smaller response takes this part of the difference off.
  static constexpr std::int64_t kDecayDivisor = 8;

  std::map<kernel::route_name, std::int64_t> largest_;
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_RESPONSE_SIZES_H_
