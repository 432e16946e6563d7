// Tests how commands are stored in the entries of the log.

#include "plugins/control/log_payload.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cornelweir/codec.h"

namespace cornelweir::plugins::control {
namespace {

// A command with random bytes, which can't be compressed.
state::log_record ReplacementWith(std::size_t bytes) {
  constexpr std::size_t kRouteBytes = 1'000;
  state::replace_policy_command command;
  command.delta.version = kernel::policy_version(1);
  kernel::seeded_random random(1);
  for (std::size_t size = 0; size < bytes; size += kRouteBytes) {
    policy::route added;
    added.path_prefix.resize(kRouteBytes);
    for (char& byte : added.path_prefix) byte = static_cast<char>(random.NextU64());
    command.delta.inserted.push_back({0, added});
  }
  return {7, command};
}

std::vector<replication::log_entry> EntriesOf(std::vector<kernel::byte_string> payloads) {
  std::vector<replication::log_entry> entries;
  entries.reserve(payloads.size());
  for (kernel::byte_string& payload : payloads) {
    entries.push_back({kernel::term(1), kernel::log_index(entries.size() + 1),
                       replication::entry_kind::kCommand, std::move(payload)});
  }
  return entries;
}

bool IsIncomplete(const log_record_reader::result& read) {
  return std::holds_alternative<log_record_reader::incomplete>(read);
}

// Guards against a log of an earlier version that can't be read after an update.
TEST(LogPayload, ReadsARecordOfAnEarlierVersion) {
  const state::log_record record = ReplacementWith(200'000);
  log_record_reader reader;
  const auto read = reader.Read(EntriesOf({{codec::Encode(record)}}).front());
  ASSERT_TRUE(std::holds_alternative<state::log_record>(read));
  EXPECT_EQ(codec::Encode(std::get<state::log_record>(read)), codec::Encode(record));
  EXPECT_EQ(EncodeLogRecord(ReplacementWith(200'000)).front().bytes,
            codec::Encode(ReplacementWith(200'000)));
}

// Guards against a large change that does not fit into the entries of the log, or that is applied
// although its leader did not replicate all of it.
TEST(LogPayload, SplitsALargeRecord) {
  const state::log_record record = ReplacementWith(500'000);
  const auto entries = EntriesOf(EncodeLogRecord(record));
  ASSERT_GE(entries.size(), 3U);
  log_record_reader reader;
  for (std::size_t i = 0; i + 1 < entries.size(); ++i) {
    EXPECT_LE(entries[i].payload.bytes.size(), replication::kMaxPayloadBytes);
    EXPECT_TRUE(IsIncomplete(reader.Read(entries[i])));
    EXPECT_TRUE(reader.HasIncomplete());
  }
  const auto read = reader.Read(entries.back());
  ASSERT_TRUE(std::holds_alternative<state::log_record>(read));
  EXPECT_EQ(codec::Encode(std::get<state::log_record>(read)), codec::Encode(record));
  EXPECT_FALSE(reader.HasIncomplete());

  reader.Read(entries[0]);
  reader.Read(entries[1]);
  replication::log_entry of_the_next_leader = entries[2];
  of_the_next_leader.term = kernel::term(2);
  EXPECT_TRUE(
      std::holds_alternative<log_record_reader::malformed>(reader.Read(of_the_next_leader)));
  EXPECT_FALSE(reader.HasIncomplete());
}

// Guards against a record above the bound that fills the log or the memory of a host.
TEST(LogPayload, RefusesARecordAboveTheBound) {
  EXPECT_TRUE(EncodeLogRecord(ReplacementWith(protocol::kMaxPartedBytes)).empty());
  EXPECT_FALSE(PackCommand(ReplacementWith(protocol::kMaxPartedBytes).body));
  const std::string bomb = codec::Deflate(std::string(codec::kMaxStateBytes + 1, 'x'));
  log_record_reader reader;
  log_record_reader::result read = log_record_reader::incomplete{};
  for (const auto& entry : EntriesOf(EncodePackedCommand(1, bomb))) read = reader.Read(entry);
  EXPECT_TRUE(std::holds_alternative<log_record_reader::malformed>(read));
}

}  // namespace
}  // namespace cornelweir::plugins::control
