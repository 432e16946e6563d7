#ifndef CORNELWEIR_SRC_REPLICATION_MESSAGE_H_
#define CORNELWEIR_SRC_REPLICATION_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "cornelweir/src/kernel/byte_string.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/replication/group_configuration.h"
#include "cornelweir/src/replication/log_entry.h"

namespace cornelweir::replication {

// Asks for a vote, or whether one would be granted (pre-vote).
struct request_vote {
  static constexpr std::string_view kType = "request_vote";

  kernel::term term;
  kernel::log_index last_index;
  kernel::term last_term;
  bool pre_vote = false;
  // The receiver's disk as recorded in the candidate's configuration; 0 if there is no record. A
  // host on another disk may have lost its votes and entries, so it must not grant.
  kernel::disk_id voter_disk;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"term", &request_vote::term},
                      kernel::field{"last_index", &request_vote::last_index},
                      kernel::field{"last_term", &request_vote::last_term},
                      kernel::field{"pre_vote", &request_vote::pre_vote},
                      kernel::field{"voter_disk", &request_vote::voter_disk}};
  }
  friend bool operator==(const request_vote&, const request_vote&) = default;
};

// Replies to request_vote.
struct vote {
  static constexpr std::string_view kType = "vote";

  kernel::term term;
  bool granted = false;
  bool pre_vote = false;
  kernel::disk_id disk;
  bool bootstrap = false;
  // The longest recent sync of the voter's log.
  kernel::microseconds sync_time{};

  static constexpr auto Fields() {
    return std::tuple{
        kernel::field{"term", &vote::term},           kernel::field{"granted", &vote::granted},
        kernel::field{"pre_vote", &vote::pre_vote},   kernel::field{"disk", &vote::disk},
        kernel::field{"bootstrap", &vote::bootstrap}, kernel::field{"sync_time", &vote::sync_time}};
  }
  friend bool operator==(const vote&, const vote&) = default;
};

// Entries that follow a position which the log of the receiver should contain. Without entries: a
// heartbeat.
struct append_entries {
  static constexpr std::string_view kType = "append_entries";

  kernel::term term;
  kernel::log_index previous_index;
  kernel::term previous_term;
  std::vector<log_entry> entries;
  kernel::log_index commit;
  // The heartbeat round that this message belongs to, and the latest confirmed one. A receiver that
  // has all entries up to `commit` knows what was committed before the confirmed round.
  kernel::heartbeat_round round;
  kernel::heartbeat_round confirmed;
  // The longest recent sync that a majority needs, as far as the leader knows.
  kernel::microseconds majority_sync_time{};

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"term", &append_entries::term},
                      kernel::field{"previous_index", &append_entries::previous_index},
                      kernel::field{"previous_term", &append_entries::previous_term},
                      kernel::field{"entries", &append_entries::entries},
                      kernel::field{"commit", &append_entries::commit},
                      kernel::field{"round", &append_entries::round},
                      kernel::field{"confirmed", &append_entries::confirmed},
                      kernel::field{"sync_time", &append_entries::majority_sync_time}};
  }
  friend bool operator==(const append_entries&, const append_entries&) = default;
};

// Replies to append_entries.
struct append_reply {
  static constexpr std::string_view kType = "append_reply";

  kernel::term term;
  bool accepted = false;
  // If accepted, the last index up to which the logs match; otherwise the next index to try.
  kernel::log_index index;
  kernel::heartbeat_round round;
  kernel::disk_id disk;
  bool bootstrap = false;
  // The longest recent sync of the sender's log.
  kernel::microseconds sync_time{};

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"term", &append_reply::term},
                      kernel::field{"accepted", &append_reply::accepted},
                      kernel::field{"index", &append_reply::index},
                      kernel::field{"round", &append_reply::round},
                      kernel::field{"disk", &append_reply::disk},
                      kernel::field{"bootstrap", &append_reply::bootstrap},
                      kernel::field{"sync_time", &append_reply::sync_time}};
  }
  friend bool operator==(const append_reply&, const append_reply&) = default;
};

// A piece of a snapshot: the bytes from offset on.
struct install_snapshot {
  static constexpr std::string_view kType = "install_snapshot";

  kernel::term term;
  kernel::log_index snapshot_index;
  kernel::term snapshot_term;
  group_configuration configuration;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  kernel::byte_string piece;
  kernel::heartbeat_round round;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"term", &install_snapshot::term},
                      kernel::field{"snapshot_index", &install_snapshot::snapshot_index},
                      kernel::field{"snapshot_term", &install_snapshot::snapshot_term},
                      kernel::field{"configuration", &install_snapshot::configuration},
                      kernel::field{"offset", &install_snapshot::offset},
                      kernel::field{"total", &install_snapshot::total},
                      kernel::field{"piece", &install_snapshot::piece},
                      kernel::field{"round", &install_snapshot::round}};
  }
  friend bool operator==(const install_snapshot&, const install_snapshot&) = default;
};

// Replies to install_snapshot with the next expected offset.
struct snapshot_reply {
  static constexpr std::string_view kType = "snapshot_reply";

  kernel::term term;
  kernel::log_index snapshot_index;
  std::uint64_t offset = 0;
  bool complete = false;
  kernel::heartbeat_round round;
  kernel::disk_id disk;
  bool bootstrap = false;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"term", &snapshot_reply::term},
                      kernel::field{"snapshot_index", &snapshot_reply::snapshot_index},
                      kernel::field{"offset", &snapshot_reply::offset},
                      kernel::field{"complete", &snapshot_reply::complete},
                      kernel::field{"round", &snapshot_reply::round},
                      kernel::field{"disk", &snapshot_reply::disk},
                      kernel::field{"bootstrap", &snapshot_reply::bootstrap}};
  }
  friend bool operator==(const snapshot_reply&, const snapshot_reply&) = default;
};

// Forwards a read index request to the leader.
struct read_index {
  static constexpr std::string_view kType = "read_index";

  // Random for each request, so that a late reply to an earlier request for which the caller used
  // the same nonce isn't taken for the reply to this one.
  kernel::nonce request;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"request", &read_index::request}};
  }
  friend bool operator==(const read_index&, const read_index&) = default;
};

// Replies to read_index; no index means that the read failed.
struct read_index_reply {
  static constexpr std::string_view kType = "read_index_reply";

  kernel::nonce request;
  std::optional<kernel::log_index> index;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"request", &read_index_reply::request},
                      kernel::field{"index", &read_index_reply::index}};
  }
  friend bool operator==(const read_index_reply&, const read_index_reply&) = default;
};

using message = std::variant<request_vote, vote, append_entries, append_reply, install_snapshot,
                             snapshot_reply, read_index, read_index_reply>;

// A message with its sender and receiver.
struct envelope {
  kernel::host_id from;
  kernel::host_id to;
  message body;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"from", &envelope::from}, kernel::field{"to", &envelope::to},
                      kernel::field{"body", &envelope::body}};
  }
  friend bool operator==(const envelope&, const envelope&) = default;
};

}  // namespace cornelweir::replication

#endif  // CORNELWEIR_SRC_REPLICATION_MESSAGE_H_
