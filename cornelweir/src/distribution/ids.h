#ifndef CORNELWEIR_SRC_DISTRIBUTION_IDS_H_
#define CORNELWEIR_SRC_DISTRIBUTION_IDS_H_

#include <cstdint>

#include "cornelweir/src/kernel/strong_id.h"

namespace cornelweir::distribution {

// One connection of a subscriber to a publisher, chosen by the publisher's adapter and never used
// again.
using subscriber_id = kernel::strong_id<struct subscriber_id_tag, std::uint64_t>;
// Ties the pieces of one transfer together.
using transfer_id = kernel::strong_id<struct transfer_id_tag, std::uint64_t>;
// The place of a piece in its transfer, from 0, and the number of pieces.
using piece_number = kernel::strong_id<struct piece_number_tag, std::uint32_t>;
// How many relays failed a daemon since it last had a working publisher.
using failure_count = kernel::strong_id<struct failure_count_tag, std::uint32_t>;
// A number of daemons.
using daemon_count = kernel::strong_id<struct daemon_count_tag, std::uint64_t>;

}  // namespace cornelweir::distribution

#endif  // CORNELWEIR_SRC_DISTRIBUTION_IDS_H_
