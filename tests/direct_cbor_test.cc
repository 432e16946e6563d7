// Tests that encoding without a document gives the same bytes and values as with one.

#include "cornelweir/src/codec/direct_cbor.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <limits>
#include <string>
#include <vector>

#include "cornelweir/control.h"
#include "cornelweir/protocol.h"

namespace cornelweir::codec {
namespace {

std::string AnyText() { return *rc::gen::arbitrary<std::string>(); }

policy::policy_table AnyTable() {
  policy::policy_table table;
  table.version = kernel::policy_version(*rc::gen::arbitrary<std::uint64_t>());
  table.limits.max_body_bytes = *rc::gen::arbitrary<std::int64_t>();
  const auto count = *rc::gen::inRange(0, 30);
  for (int i = 0; i < count; ++i) {
    policy::route route;
    route.name = kernel::route_name(AnyText());
    route.host = std::to_string(i);
    route.path_prefix = std::string(*rc::gen::inRange<std::size_t>(0, 300), '/');
    route.timeout = kernel::milliseconds(*rc::gen::arbitrary<std::int64_t>());
    route.priority = *rc::gen::arbitrary<std::int32_t>();
    route.retry_safety = policy::retry_safety::kUpload;
    route.public_access = *rc::gen::arbitrary<bool>();
    route.split = {{kernel::service_name(AnyText()), kernel::weight(i)}};
    table.routes.push_back(route);
    policy::workspace workspace;
    workspace.name = kernel::workspace_id(std::to_string(i));
    workspace.keys = {kernel::api_key(AnyText())};
    if (*rc::gen::arbitrary<bool>()) {
      workspace.priority = *rc::gen::element(0, -1, std::numeric_limits<std::int32_t>::min());
    }
    table.workspaces.push_back(workspace);
  }
  return table;
}

control::log_record AnyRecord() {
  const policy::policy_table table = AnyTable();
  control::log_record record{
      *rc::gen::arbitrary<std::int64_t>(),
      control::replace_policy_command{policy::Diff(policy::policy_table(), table), {}, {}}};
  if (*rc::gen::arbitrary<bool>()) {
    std::get<control::replace_policy_command>(record.body).text = policy::policy_text{
        {AnyText()}, kernel::policy_digest(*rc::gen::arbitrary<std::uint64_t>())};
  }
  if (*rc::gen::arbitrary<bool>()) {
    control::complete_command complete;
    complete.response.body.bytes = AnyText();
    record.body = complete;
  }
  return record;
}

protocol::data_message AnyDataMessage() {
  protocol::upstream_load load;
  load.queued = *rc::gen::arbitrary<std::int64_t>();
  load.wait = kernel::microseconds(*rc::gen::arbitrary<std::int64_t>());
  const kernel::call_id id(*rc::gen::arbitrary<std::uint64_t>());
  const auto headers = *rc::gen::arbitrary<protocol::header_pairs>();
  switch (*rc::gen::inRange(0, 4)) {
    case 0: {
      protocol::run_request run;
      run.id = id;
      run.target = AnyText();
      run.headers = headers;
      run.objective_left = kernel::microseconds(*rc::gen::arbitrary<std::int64_t>());
      if (*rc::gen::arbitrary<bool>()) run.parent = protocol::parent_rank{-1, {}, {}};
      return run;
    }
    case 1:
      return protocol::run_response{id, *rc::gen::arbitrary<std::int32_t>(), headers, load};
    case 2:
      return protocol::run_failed{id, protocol::run_failure::kTimeout, {}, load, true};
    default:
      return protocol::upstream_report{kernel::service_name(AnyText()), {}, true, {}, {}, load};
  }
}

// Guards against bytes that other versions can't read, and against a digest of a policy that
// changes, so that a resend is taken for a conflict.
TEST(DirectCbor, WritesAndReadsTheSameBytesAsEncode) {
  EXPECT_TRUE(rc::check([] {
    const policy::policy_table table = AnyTable();
    RC_ASSERT(EncodeDirectly(table) == Encode(table));
    RC_ASSERT(DecodeDirectly<policy::policy_table>(Encode(table), kMaxStateBytes).value() == table);
    const control::log_record record = AnyRecord();
    const std::string bytes = Encode(record);
    RC_ASSERT(EncodeDirectly(record) == bytes);
    const auto read = DecodeDirectly<control::log_record>(bytes, kMaxStateBytes);
    RC_ASSERT(read && Encode(read.value()) == bytes);
    control::state_machine machine;
    control::applied_effects effects;
    machine.Apply(kernel::log_index(1), record, effects);
    const std::string snapshot = Encode(machine.Snapshot());
    RC_ASSERT(EncodeDirectly(machine.Snapshot()) == snapshot);
    const auto restored = DecodeDirectly<control::state_snapshot>(snapshot, kMaxStateBytes);
    RC_ASSERT(restored && Encode(restored.value()) == snapshot);
  }));
}

// Guards against messages between daemons that a daemon of another version can't read.
TEST(DirectCbor, WritesAndReadsMessagesBetweenDaemonsLikeEncode) {
  EXPECT_TRUE(rc::check([] {
    const protocol::data_message message = AnyDataMessage();
    const std::string bytes = Encode(message);
    RC_ASSERT(EncodeDirectly(message) == bytes);
    const auto read = DecodeDirectly<protocol::data_message>(bytes, kMaxMessageBytes);
    RC_ASSERT(read && Encode(read.value()) == bytes);
  }));
  // A header is a name and a value.
  for (const char* const malformed : {"\x81\x61x", "\x83\x61x\x61y\x61z", "\x61x"}) {
    protocol::run_response response;
    response.headers = {{"x", "y"}};
    std::string bytes = Encode(protocol::data_message(response));
    const std::string header("\x82\x61x\x61y");
    bytes.replace(bytes.find(header), header.size(), malformed);
    EXPECT_FALSE(DecodeDirectly<protocol::data_message>(bytes, kMaxMessageBytes));
    EXPECT_FALSE(Decode<protocol::data_message>(bytes));
  }
}

// Guards against messages between daemons and control hosts that another version can't read.
TEST(DirectCbor, WritesAndReadsMessagesOfControlHostsLikeEncode) {
  const auto expect_same = []<class Message>(const Message& message) {
    const std::string bytes = Encode(message);
    EXPECT_EQ(EncodeDirectly(message), bytes);
    const auto read = DecodeDirectly<Message>(bytes, kMaxMessageBytes);
    EXPECT_TRUE(read && Encode(read.value()) == bytes);
  };
  membership::roster_entry entry;
  entry.daemon = kernel::endpoint("127.0.0.1:1");
  entry.upstream.emplace().id = kernel::upstream_id("u1");
  entry.upstream->rate_limit = kernel::request_rate(250'000);
  rollout::rollout_record record;
  record.service = kernel::service_name("forms");
  record.released = {kernel::software_version("v1"), kernel::software_version("v2")};
  protocol::fleet_update update;
  update.policy_delta.bytes = std::string("\0\xff", 2);
  update.present = {entry, {}};
  update.gone = {entry.daemon};
  update.last_upstream = entry.upstream;
  update.rollouts = {record};
  expect_same(protocol::fleet_message(update));
  const kernel::workspace_id workspace("w1");
  expect_same(protocol::fleet_message(quota::quota_grant{
      kernel::nonce(1), {{workspace, kernel::request_count(2), kernel::microseconds(-3), {}}}}));
  expect_same(protocol::report_message(
      quota::quota_request{kernel::nonce(1), {{workspace, kernel::request_count(300)}}}));
  protocol::daemon_report report;
  report.self = entry;
  expect_same(protocol::report_message(report));
  rollout::rollout_sample sample;
  expect_same(protocol::report_message(sample));
}

// Guards against malformed bytes that crash a host, fill its memory or are read as another value.
TEST(DirectCbor, ReadsAnyBytes) {
  EXPECT_TRUE(rc::check([] {
    std::string bytes = Encode(AnyRecord());
    const auto changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes.replace(at, *rc::gen::inRange<std::size_t>(0, 3),
                    *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                                    rc::gen::element<std::string>("\x9b\xff\xff\xff\xff", "\xff",
                                                                  "\x5f", "\xc0", "\xf6")));
    }
    const auto read = DecodeDirectly<control::log_record>(bytes, kMaxStateBytes);
    const auto expected = Decode<control::log_record>(bytes);
    if (read && expected) RC_ASSERT(Encode(read.value()) == Encode(expected.value()));
  }));
  EXPECT_FALSE(DecodeDirectly<policy::policy_table>("", kMaxStateBytes));
  EXPECT_FALSE(DecodeDirectly<policy::policy_table>(
      std::string("\xa1\x61x") + std::string(100'000, '\x81'), kMaxStateBytes));
  EXPECT_FALSE(DecodeDirectly<policy::policy_table>(Encode(policy::policy_table()), 10));
}

}  // namespace
}  // namespace cornelweir::codec
