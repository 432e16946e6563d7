#ifndef CORNELWEIR_SRC_REPLICATION_LOG_ENTRY_H_
#define CORNELWEIR_SRC_REPLICATION_LOG_ENTRY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>

#include "cornelweir/src/kernel/byte_string.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/group_configuration.h"

namespace cornelweir::replication {

enum class entry_kind : std::uint8_t { kCommand, kNoop, kConfiguration };

// One entry of the replicated log. A command has an opaque payload; a configuration is kept as a
// typed value, since this module doesn't encode.
struct log_entry {
  kernel::term term;
  kernel::log_index index;
  entry_kind kind = entry_kind::kCommand;
  kernel::byte_string payload;
  std::optional<group_configuration> configuration = std::nullopt;

  static constexpr auto Fields() {
    return std::tuple{
        kernel::field{"term", &log_entry::term}, kernel::field{"index", &log_entry::index},
        kernel::field{"kind", &log_entry::kind}, kernel::field{"payload", &log_entry::payload},
        kernel::field{"configuration", &log_entry::configuration}};
  }
  friend bool operator==(const log_entry&, const log_entry&) = default;
};

// Returns an upper bound of the encoded size of an entry in bytes, given host ids of at most 64
// bytes.
std::size_t MaxEncodedBytes(const log_entry& entry);

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_LOG_ENTRY_H_
