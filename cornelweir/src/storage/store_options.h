#ifndef CORNELWEIR_SRC_STORAGE_STORE_OPTIONS_H_
#define CORNELWEIR_SRC_STORAGE_STORE_OPTIONS_H_

#include <cstdint>
#include <vector>

#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/storage/limits.h"

namespace cornelweir::storage {

// How a copy of a data folder is distinguished from the original. By files: the inodes and creation
// times must be those that the store recorded, so the file system must keep them for as long as a
// file exists. None, for file systems that don't: only the identity that the store wrote counts,
// and a copy isn't recognized.
enum class copy_check : std::uint8_t { kByFileIdentity, kNone };

struct store_options {
  copy_check check = copy_check::kByFileIdentity;
  // Whether a folder that never had an identity gets one with the bootstrap flag.
  bool bootstrap = false;
  // The voters with which the group begins, kept with the flag: the settings may name other hosts
  // at the next start.
  std::vector<kernel::host_id> initial_voters = {};
  // Size from which on a segment of the log gets no further records.
  std::uint64_t segment_bytes = kSegmentBytes;
};

}  // namespace cornelweir::storage

#endif  // CORNELWEIR_SRC_STORAGE_STORE_OPTIONS_H_
