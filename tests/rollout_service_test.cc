// Tests a control host that starts rollouts for operators, judges what daemons report, and sends
// the records to them.

#include "plugins/control/rollout_service.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "cornelweir/codec.h"
#include "plugins/greeting.h"
#include "tests/control_host_test.h"
#include "tests/policy_submission_of.h"

namespace cornelweir::plugins::control {
namespace {

const kernel::service_name kService("forms");

// A control host, and one link that reports for two daemons of a service: one beside
// an upstream of version v1 and one beside an upstream of version v2.
// NOLINTNEXTLINE(readability-identifier-naming)
class RolloutServiceTest : public ControlHostTest {
 protected:
  RolloutServiceTest() {
    policy::policy_table table;
    table.version = kernel::policy_version(1);
    table.services = {{kService, "/health", 1, "h1", false}};
    std::optional<policy_answer> answer;
    context_.policy.replace(kernel::policy_version(), SubmissionOf(table),
                            [&](policy_answer decided) { answer = decided; });
    http::RunUntil(loop_, [&] { return answer.has_value(); });
  }
  ~RolloutServiceTest() override {
    samples_.Cancel();
    plugin_.reset();
  }

  rollout_answer Order(const char* version, kernel::milliseconds duration,
                       const kernel::service_name& service = kService) {
    std::optional<rollout_answer> answer;
    context_.rollouts.start({service, kernel::software_version(version), duration},
                            [&](rollout_answer decided) { answer = decided; });
    http::RunUntil(loop_, [&] { return answer.has_value(); });
    return *answer;
  }

  rollout_status Read() {
    std::optional<rollout_status> status;
    context_.rollouts.read(kService, [&](const rollout_status& read) { status = read; });
    http::RunUntil(loop_, [&] { return status.has_value(); });
    return *status;
  }

  void ConnectDaemons() {
    transport::link_handlers handlers;
    handlers.opened = [this](const std::shared_ptr<transport::link>& link) {
      const protocol::report_message greeting =
          Greeting(protocol::process_role::kSidecar, kernel::host_id("daemon"));
      link->Send(codec::Encode(greeting));
      for (const char* version : {"v1", "v2"}) Report(*link, version);
    };
    handlers.message = [this](const std::shared_ptr<transport::link>&, std::string_view payload) {
      const auto message = codec::Decode<protocol::fleet_message>(payload);
      ASSERT_TRUE(message);
      const auto* update = std::get_if<protocol::fleet_update>(&message.value());
      ASSERT_NE(update, nullptr);
      for (const rollout::rollout_record& record : update->rollouts) {
        records_.push_back(record);
        counted_.clear();
      }
    };
    link_ = transport::link::Connect(loop_.context(), plugin_->mesh_endpoint(), nullptr,
                                     std::move(handlers));
    http::RunUntil(loop_, [this] { return plugin_->roster().EntriesOf(kService).size() == 2; });
    samples_.StartPeriodic(kernel::milliseconds(50), [this] {
      if (!records_.empty()) SendSamples(records_.back());
    });
  }

  static kernel::endpoint DaemonOf(const std::string& version) {
    return kernel::endpoint("127.0.0.1:" + version.substr(1));
  }

  static void Report(transport::link& link, const char* version) {
    protocol::daemon_report report;
    report.self.daemon = DaemonOf(version);
    report.self.service = kService;
    report.self.incarnation = kernel::incarnation(1);
    report.self.sequence = 1;
    report.self.upstream.emplace();
    report.self.upstream->version = kernel::software_version(version);
    link.Send(codec::Encode(protocol::report_message{report}));
  }

  // Reports 60 requests more at each upstream that the record admits.
  void SendSamples(const rollout::rollout_record& record) {
    for (const char* version : {"v1", "v2"}) {
      rollout::rollout_sample sample;
      sample.daemon = DaemonOf(version);
      sample.service = kService;
      sample.revision = record.revision;
      sample.version = kernel::software_version(version);
      sample.open = rollout::Admits(record, sample.version);
      sample.slots = sample.open ? 100 : 0;
      rollout::route_evidence& counted = counted_[version];
      if (sample.open) {
        counted.responses += 60;
        if (sample.version == record.target) counted.failures += new_version_failures_;
      }
      sample.routes[kernel::route_name("r")] = counted;
      link_->Send(codec::Encode(protocol::report_message{sample}));
    }
  }

  loop::timer samples_{loop_};
  std::shared_ptr<transport::link> link_;
  // All records that the daemons received.
  std::vector<rollout::rollout_record> records_;
  std::map<std::string, rollout::route_evidence> counted_;
  std::int64_t new_version_failures_ = 0;
};

// Long enough that no step is skipped to end in time, short enough that the test ends soon.
constexpr kernel::milliseconds kShort{6'000};
constexpr kernel::milliseconds kLong{60'000};

// Guards against a good version that is not completed, a share that skips a step, and daemons that
// do not learn of a step.
TEST_F(RolloutServiceTest, CompletesAGoodVersion) {
  ConnectDaemons();
  ASSERT_EQ(Order("v2", kShort), rollout_answer::kAccepted);
  EXPECT_EQ(Read().record->released, std::vector{kernel::software_version("v1")});
  http::RunUntil(loop_,
                 [this] { return !records_.empty() && !rollout::IsRunning(records_.back()); });
  ASSERT_EQ(records_.size(), 5U);
  for (std::size_t i = 0; i < rollout::kShareSteps.size(); ++i) {
    EXPECT_EQ(records_[i].share, rollout::kShareSteps[i]);
  }
  EXPECT_EQ(records_.back().state, rollout::rollout_state::kCompleted);
  EXPECT_EQ(Read().record->state, rollout::rollout_state::kCompleted);
}

// Guards against a bad version that stays in use after the evidence has arrived.
TEST_F(RolloutServiceTest, RollsBackABadVersion) {
  ConnectDaemons();
  new_version_failures_ = 20;
  ASSERT_EQ(Order("v2", kLong), rollout_answer::kAccepted);
  http::RunUntil(loop_,
                 [this] { return !records_.empty() && !rollout::IsRunning(records_.back()); });
  EXPECT_EQ(records_.size(), 2U);
  EXPECT_EQ(records_.back().state, rollout::rollout_state::kRolledBack);
}

// Guards against an order whose resend is refused, a second rollout of a service, an order for a
// service that does not exist, and an order that a restart of the host loses.
TEST_F(RolloutServiceTest, AnswersOrders) {
  EXPECT_FALSE(Read().record);
  EXPECT_EQ(Order("v2", kLong), rollout_answer::kAccepted);
  EXPECT_EQ(Order("v2", kLong), rollout_answer::kAccepted);
  EXPECT_EQ(Order("v3", kLong), rollout_answer::kConflict);
  EXPECT_EQ(Order("v2", kLong, kernel::service_name("unknown")), rollout_answer::kUnknownService);
  plugin_.reset();
  StartHost();
  const rollout_status status = Read();
  ASSERT_TRUE(status.record);
  EXPECT_EQ(status.record->target, kernel::software_version("v2"));
}

}  // namespace
}  // namespace cornelweir::plugins::control
