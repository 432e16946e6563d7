#ifndef CORNELWEIR_SRC_ROUTING_LINK_LOAD_H_
#define CORNELWEIR_SRC_ROUTING_LINK_LOAD_H_

#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::routing {

// What a daemon knows of the large request bodies that are to arrive at the host of an upstream.
struct link_load {
  // As last reported: bytes of announced bodies that had not arrived, and the rate at which such
  // bodies arrive; 0 if unknown.
  std::int64_t missing_bytes = 0;
  std::int64_t bytes_per_second = 0;
  kernel::microseconds report_age{};
  // Bytes of the bodies that this daemon has announced since the report.
  std::int64_t announced_since_report = 0;
};

// Expected time until a body of this size has arrived, behind the others; zero while the rate of
// the link is unknown.
kernel::microseconds ExpectedTransferTime(const link_load& load, std::size_t body_bytes);

}  // namespace cornelweir::routing

#endif  // CORNELWEIR_SRC_ROUTING_LINK_LOAD_H_
