#include "cornelweir/src/replication/log_entry.h"

namespace cornelweir::replication {
namespace {

constexpr std::size_t kMaxEntryOverheadBytes = 128;
constexpr std::size_t kMaxHostBytes = 256;

}  // namespace

std::size_t MaxEncodedBytes(const log_entry& entry) {
  std::size_t bytes = entry.payload.bytes.size() + kMaxEntryOverheadBytes;
  if (entry.configuration) {
    bytes +=
        kMaxHostBytes * (entry.configuration->voters.size() + entry.configuration->learners.size());
  }
  return bytes;
}

}  // namespace cornelweir::replication
