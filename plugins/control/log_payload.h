#ifndef CORNELWEIR_PLUGINS_CONTROL_LOG_PAYLOAD_H_
#define CORNELWEIR_PLUGINS_CONTROL_LOG_PAYLOAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "cornelweir/control.h"
#include "cornelweir/kernel.h"
#include "cornelweir/protocol.h"
#include "cornelweir/replication.h"

namespace cornelweir::plugins::control {

namespace state = cornelweir::control;

// The payloads of log entries. A record of up to replication::kMaxPayloadBytes is the payload of
// one entry, as earlier versions wrote it, so that hosts of an earlier version can follow such
// changes during an update. A larger one is packed: it is deflated and split over consecutive
// entries.

// Returns a command as an encoded and deflated record; empty if it is too large for the log.
std::optional<std::string> PackCommand(const state::command& body);
// Returns the payload of the only entry, or those of consecutive entries. Empty if the record is
// too large.
std::vector<kernel::byte_string> EncodeLogRecord(const state::log_record& record);
// Returns the payloads of consecutive entries for a packed command.
std::vector<kernel::byte_string> EncodePackedCommand(std::int64_t proposed_at_ms,
                                                     const std::string& packed);

// Reads the records of committed entries.
class log_record_reader {
 public:
  // The entry holds a part of a record that later entries complete.
  struct incomplete {};
  // Every host finds the same bytes malformed, so that the replicas stay identical.
  struct malformed {};
  using result = std::variant<state::log_record, incomplete, malformed>;

  // Reads the entry after the previous one. A record whose entries are not consecutive is dropped:
  // its leader lost its term before it had replicated all of them.
  result Read(const replication::log_entry& entry);
  // Drops the parts of an incomplete record.
  void Clear() { parts_.Clear(); }
  // Whether a snapshot may be taken: it can't hold an incomplete record.
  bool HasIncomplete() const { return !parts_.empty(); }

 private:
  protocol::part_assembler parts_;
  kernel::log_index next_index_;
  kernel::term term_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_PLUGINS_CONTROL_LOG_PAYLOAD_H_
