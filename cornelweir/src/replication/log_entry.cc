#include "cornelweir/src/replication/log_entry.h"

namespace cornelweir::replication {
namespace {

constexpr std::size_t kEntryOverhead = 128;
constexpr std::size_t kHostBound = 256;

}  // namespace

std::size_t EncodedBound(const log_entry& entry) {
  std::size_t bytes = entry.payload.bytes.size() + kEntryOverhead;
  if (entry.configuration) {
    bytes +=
        kHostBound * (entry.configuration->voters.size() + entry.configuration->learners.size());
  }
  return bytes;
}

}  // namespace cornelweir::replication
