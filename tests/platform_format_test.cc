// The platform's names and formats.

#include <gtest/gtest.h>

#include <string>
#include <variant>

#include "platform/json_fields.h"
#include "platform/policy_format.h"
#include "platform/sidecar_dialect.h"

namespace cornelweir::platform {
namespace {

using plugins::sidecar::call;
using plugins::sidecar::reply_kind;
using plugins::sidecar::upstream_response_kind;

constexpr std::string_view kPolicy = R"({
  "version": "0000000c",
  "services": [{"name": "a", "health_check": "/health", "max_connections": 120, "protocol": "h1",
                "tls": false},
               {"name": "b", "health_check": "/up", "max_connections": 9, "protocol": "h1",
                "tls": false}],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms",
             "idle_timeout": "15s"},
  "virtual_hosts": [{"host": "x.example", "host_routes": [
    {"name": "r1", "path_prefix": "/p/", "route_type": "safe", "timeout": "1.2s",
     "target_latency": "600ms", "priority": 2, "attempts": 2,
     "traffic_split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]},
    {"name": "r2", "path_prefix": "/q/", "route_type": "unsafe", "timeout": "1500ms",
     "target_latency": "800ms", "priority": 1, "attempts": 1, "service": "b"}]}]})";

boost::leaf::result<policy::policy_table> Read(std::string_view text) { return ReadPolicy(text); }

// Guards against a policy that is read back otherwise than it was sent.
TEST(PlatformFormat, WritesBackWhatItRead) {
  const auto table = Read(std::string(kPolicy));
  ASSERT_TRUE(table);
  EXPECT_EQ(table->version, kernel::policy_version(12));
  EXPECT_EQ(table->routes.at(0).timeout, kernel::milliseconds(1'200));
  EXPECT_EQ(table->routes.at(1).route_type, policy::route_type::kNonIdempotent);
  const std::string written = WritePolicy(table.value());
  const auto again = Read(written);
  ASSERT_TRUE(again);
  EXPECT_EQ(again.value(), table.value());
  EXPECT_EQ(json::parse(written)["virtual_hosts"].size(), 1U);
  EXPECT_EQ(json::parse(written)["version"], "0000000c");
}

// Guards against a policy that is accepted although a part of it can't be read.
TEST(PlatformFormat, RefusesAPolicyThatCanNotBeReadInFull) {
  const auto with = [](const std::string& from, const std::string& to) {
    std::string text(kPolicy);
    text.replace(text.find(from), from.size(), to);
    return static_cast<bool>(Read(text));
  };
  EXPECT_FALSE(Read(std::string(kPolicy.substr(0, kPolicy.size() / 2))));
  EXPECT_FALSE(with("\"safe\"", "\"often\""));
  EXPECT_FALSE(with("\"1.2s\"", "\"1.2h\""));
  EXPECT_FALSE(with("\"1.2s\"", "12"));
  EXPECT_FALSE(with("\"weight\": 90", "\"heavy\": 90"));
  EXPECT_FALSE(with("0000000c", "12x"));
  EXPECT_FALSE(with("\"services\"", "\"servants\""));
  EXPECT_TRUE(with("\"tls\": false", "\"tls\": true"));
}

protocol::run_request RunWithId(const std::string& id) {
  protocol::run_request run;
  run.headers = {{"Attempt-Id", id}};
  return run;
}

// Guards against a response that reaches the caller of another request, and against "not run" for a
// request that ran.
TEST(PlatformDialect, JudgesResponses) {
  const auto classify = [](int status, http::header_pairs headers) {
    return sidecar_dialect::ClassifyResponse(RunWithId("1"), {status, std::move(headers), ""});
  };
  EXPECT_EQ(classify(200, {{"Attempt-Id", "1"}, {"Server-Seal", "s"}}),
            upstream_response_kind::kResponse);
  EXPECT_EQ(classify(500, {{"Attempt-Id", "1"}}), upstream_response_kind::kResponse);
  EXPECT_EQ(classify(503, {{"Attempt-Id", "1"}}), upstream_response_kind::kResponse);
  EXPECT_EQ(classify(503, {{"Not-Executed", "1"}}), upstream_response_kind::kNotRun);
  EXPECT_EQ(classify(421, {{"Instance-Id", "i"}}), upstream_response_kind::kOtherUpstream);
  EXPECT_EQ(classify(200, {{"Attempt-Id", "2"}, {"Server-Seal", "s"}}),
            upstream_response_kind::kStale);
  EXPECT_EQ(classify(200, {{"Attempt-Id", "1"}}), upstream_response_kind::kUnusable);
  EXPECT_EQ(classify(200, {{"Server-Seal", "s"}}), upstream_response_kind::kUnusable);
}

// Guards against headers of one connection, or forged ones, that reach the upstream.
TEST(PlatformDialect, PassesOnOnlyWhatIsTheCallers) {
  auto decoded = sidecar_dialect::DecodeCall({"GET",
                                              "/a",
                                              {{"Host", "h"},
                                               {"attempt-id", "7"},
                                               {"DEADLINE-MS", "250"},
                                               {"Caller-Service", "forged"},
                                               {"Expect-Instance", "forged"},
                                               {"Connection", "close"},
                                               {"X-Own", "1"}},
                                              ""});
  ASSERT_TRUE(std::holds_alternative<call>(decoded));
  const call& read = std::get<call>(decoded);
  EXPECT_EQ(read.request_id, "7");
  EXPECT_EQ(read.time_left, kernel::milliseconds(250));
  EXPECT_EQ(read.headers.size(), 3U);
  protocol::run_request run = RunWithId("7");
  run.caller = kernel::service_name("forms");
  const http::whole_request sent =
      sidecar_dialect::EncodeRun(run, "", kernel::upstream_id("i-1"), kernel::milliseconds(99));
  EXPECT_EQ(http::FindHeader(sent.headers, "Caller-Service"), "forms");
  EXPECT_EQ(http::FindHeader(sent.headers, "Expect-Instance"), "i-1");
  EXPECT_EQ(http::FindHeader(sent.headers, "Deadline-Ms"), "99");
}

// Guards against a time limit that can't be read and is taken for none.
TEST(PlatformDialect, RefusesATimeLimitThatIsNoNumber) {
  auto decoded = sidecar_dialect::DecodeCall({"GET", "/", {{"Deadline-Ms", "soon"}}, ""});
  ASSERT_TRUE(std::holds_alternative<http::whole_response>(decoded));
  EXPECT_EQ(std::get<http::whole_response>(decoded).status, 400);
}

// Guards against "come back" for a request that may have run.
TEST(PlatformDialect, PromisesNotRunOnlyByTheRightStatus) {
  const call answered;
  const auto reply = [&](reply_kind kind) {
    return sidecar_dialect::Reply(answered, kind, kernel::milliseconds(150), "why");
  };
  EXPECT_EQ(reply(reply_kind::kNotRun).status, 503);
  EXPECT_EQ(http::FindHeader(reply(reply_kind::kNotRun).headers, "Retry-After"), "0.150");
  EXPECT_EQ(reply(reply_kind::kUpstreamFailed).status, 502);
  EXPECT_EQ(reply(reply_kind::kTimeout).status, 504);
  EXPECT_EQ(reply(reply_kind::kNoRoute).status, 404);
}

}  // namespace
}  // namespace cornelweir::platform
