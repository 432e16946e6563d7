#ifndef CORNELWEIR_SRC_DISTRIBUTION_IDS_H_
#define CORNELWEIR_SRC_DISTRIBUTION_IDS_H_

#include <cstdint>

#include "cornelweir/src/kernel/strong_id.h"

namespace cornelweir::distribution {

// One connection of a subscriber to a publisher. Assigned by the publisher's adapter and never
// reused.
using subscriber_id = kernel::strong_id<struct subscriber_id_tag, std::uint64_t>;
// Identifies the transfer to which a piece belongs.
using transfer_id = kernel::strong_id<struct transfer_id_tag, std::uint64_t>;
// The index of a piece in its transfer, from 0. Also used for the number of pieces.
using piece_number = kernel::strong_id<struct piece_number_tag, std::uint32_t>;
// Number of relays that failed a daemon since its last working publisher.
using failure_count = kernel::strong_id<struct failure_count_tag, std::uint32_t>;
using daemon_count = kernel::strong_id<struct daemon_count_tag, std::uint64_t>;

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_IDS_H_
