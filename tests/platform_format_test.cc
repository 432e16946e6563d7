// Tests the platform's document formats and request dialect.

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "platform/json_fields.h"
#include "platform/policy_format.h"
#include "platform/rollout_format.h"
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

std::optional<policy::policy_table> ParsePolicy(std::string_view text) {
  policy_document read = ReadPolicy(text);
  if (!read.errors.empty()) return std::nullopt;
  return std::move(read.table);
}

// Guards against a policy that changes when it is serialized and parsed again.
TEST(PlatformFormat, SerializesAndParsesAPolicyUnchanged) {
  const auto table = ParsePolicy(std::string(kPolicy));
  ASSERT_TRUE(table);
  EXPECT_EQ(table->version, kernel::policy_version(12));
  EXPECT_EQ(table->routes.at(0).timeout, kernel::milliseconds(1'200));
  EXPECT_EQ(table->routes.at(1).retry_safety, policy::retry_safety::kNonIdempotent);
  const std::string serialized = SerializePolicy(table.value());
  const auto reparsed = ParsePolicy(serialized);
  ASSERT_TRUE(reparsed);
  EXPECT_EQ(reparsed.value(), table.value());
  EXPECT_EQ(json::parse(serialized)["virtual_hosts"].size(), 1U);
  EXPECT_EQ(json::parse(serialized)["version"], "0000000c");
}

// Guards against reading back workspaces that differ from what operators wrote, and against new
// members in the documents of deployments without workspaces.
TEST(PlatformFormat, SerializesWorkspacesAsTheyWereWritten) {
  EXPECT_EQ(SerializePolicy(ParsePolicy(std::string(kPolicy)).value()).find("public"),
            std::string::npos);
  json document = json::parse(kPolicy);
  document["tenants"] = json::parse(R"([
    {"name": "w1", "api_keys": ["k1", "k2"], "priority": 1, "rate_per_s": 576, "burst": 60.5},
    {"name": "w2", "api_keys": []}])");
  json& routes = document["virtual_hosts"][0]["host_routes"];
  routes[0]["public"] = true;
  routes[1]["public"] = false;
  routes[1]["route_type"] = "upload";
  const auto table = ParsePolicy(document.dump());
  ASSERT_TRUE(table);
  EXPECT_EQ(table->workspaces.at(0).rate, kernel::request_rate(576'000));
  EXPECT_FALSE(table->workspaces.at(1).HasQuota());
  EXPECT_FALSE(policy::IsIdempotent(table->routes.at(1).retry_safety));
  const json serialized = json::parse(SerializePolicy(table.value()));
  EXPECT_EQ(serialized["tenants"], document["tenants"]);
  EXPECT_EQ(serialized["virtual_hosts"][0]["host_routes"][0]["public"], true);
  EXPECT_EQ(serialized["virtual_hosts"][0]["host_routes"][1]["public"], false);
}

// Guards against rounding that hides that a policy is invalid, or makes a valid one invalid.
TEST(PlatformFormat, JudgesTimesAsTheyWereWritten) {
  struct times {
    std::string timeout;
    std::string objective;
    bool is_valid;
  };
  for (const times& drawn : {times{"600000ms", "600ms", true}, times{"600000.4ms", "600ms", false},
                             times{"1000.4ms", "61000.4ms", false},
                             times{"1000.6ms", "61000.5ms", true}, times{"0.5ms", "0.5ms", true},
                             times{"1.2s", "0.4ms", true}, times{"0ms", "600ms", false}}) {
    json document = json::parse(kPolicy);
    json& route = document["virtual_hosts"][0]["host_routes"][0];
    route["timeout"] = drawn.timeout;
    route["target_latency"] = drawn.objective;
    const auto table = ParsePolicy(document.dump());
    EXPECT_EQ(table && policy::Validate(*table).empty(), drawn.is_valid)
        << drawn.timeout << ", " << drawn.objective;
  }
}

// Guards against a limit that is so low that it is rounded to none.
TEST(PlatformFormat, KeepsTheLowestLimit) {
  json document = json::parse(kPolicy);
  document["tenants"] = json::parse(R"([{"name": "w1", "api_keys": [], "rate_per_s": 0.0004}])");
  const auto table = ParsePolicy(document.dump());
  ASSERT_TRUE(table);
  EXPECT_TRUE(table->workspaces.at(0).HasQuota());
}

// Guards against putting one of two contradicting members in force.
TEST(PlatformFormat, RefusesARepeatedMember) {
  std::string text(kPolicy);
  text.insert(text.find("\"priority\""), "\"priority\": 7, ");
  EXPECT_FALSE(ParsePolicy(text));
}

// Guards against taking two policies for the same because their tables are.
TEST(PlatformFormat, NormalizedTextIgnoresOnlyTheLayout) {
  const auto normalized = [](const json& document) {
    return ReadPolicy(document.dump(2)).normalized_text;
  };
  json document = json::parse(kPolicy);
  const std::string original = ReadPolicy(kPolicy).normalized_text;
  EXPECT_FALSE(original.empty());
  EXPECT_EQ(normalized(document), original);
  document["virtual_hosts"].push_back({{"host", "y.example"}, {"host_routes", json::array()}});
  EXPECT_NE(normalized(document), original);
}

// Guards against parts of a document that are without effect and of which operators hear nothing.
TEST(PlatformFormat, WarnsOfPartsWithoutEffect) {
  EXPECT_TRUE(ReadPolicy(kPolicy).warnings.empty());
  json document = json::parse(kPolicy);
  document["owner"] = "team-a";
  document["virtual_hosts"][0]["host_routes"][1]["note"] = 1;
  document["virtual_hosts"].push_back({{"host", "y.example"}, {"host_routes", json::array()}});
  const policy_document read = ReadPolicy(document.dump());
  EXPECT_TRUE(read.errors.empty());
  std::vector<std::string> places;
  for (const policy::finding& warning : read.warnings) places.push_back(warning.place);
  EXPECT_EQ(places, (std::vector<std::string>{"virtual_hosts[0].host_routes[1].note",
                                              "virtual_hosts[1].host_routes", "owner"}));
}

// Guards against accepting a policy with a malformed member.
TEST(PlatformFormat, RejectsAMalformedPolicy) {
  const auto is_accepted_with = [](const std::string& from, const std::string& to) {
    std::string text(kPolicy);
    text.replace(text.find(from), from.size(), to);
    return ParsePolicy(text).has_value();
  };
  EXPECT_FALSE(ParsePolicy(std::string(kPolicy.substr(0, kPolicy.size() / 2))));
  EXPECT_FALSE(is_accepted_with("\"safe\"", "\"often\""));
  EXPECT_FALSE(is_accepted_with("\"1.2s\"", "\"1.2h\""));
  EXPECT_FALSE(is_accepted_with("\"1.2s\"", "12"));
  EXPECT_FALSE(is_accepted_with("\"weight\": 90", "\"heavy\": 90"));
  EXPECT_FALSE(is_accepted_with("0000000c", "12x"));
  EXPECT_FALSE(is_accepted_with("\"services\"", "\"servants\""));
  EXPECT_TRUE(is_accepted_with("\"tls\": false", "\"tls\": true"));
}

protocol::run_request RunWithId(const std::string& id) {
  protocol::run_request run;
  run.headers = {{"Attempt-Id", id}};
  return run;
}

// Guards against returning a response to the caller of another request, and against reporting a
// request that ran as not run.
TEST(PlatformDialect, ClassifiesResponses) {
  const auto classify = [](http::status_code status, http::header_pairs headers) {
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

// Guards against forwarding hop-by-hop headers or forged ones to the upstream.
TEST(PlatformDialect, ForwardsNoHopByHopOrReservedHeader) {
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
  const call& received_call = std::get<call>(decoded);
  EXPECT_EQ(received_call.request_id, "7");
  EXPECT_EQ(received_call.time_left, kernel::milliseconds(250));
  EXPECT_EQ(received_call.headers.size(), 3U);
  protocol::run_request run = RunWithId("7");
  run.caller = kernel::service_name("forms");
  const http::whole_request sent =
      sidecar_dialect::EncodeRun(run, "", kernel::upstream_id("i-1"), kernel::milliseconds(99));
  EXPECT_EQ(http::FindHeader(sent.headers, "Caller-Service"), "forms");
  EXPECT_EQ(http::FindHeader(sent.headers, "Expect-Instance"), "i-1");
  EXPECT_EQ(http::FindHeader(sent.headers, "Deadline-Ms"), "99");
}

// Guards against keys that reach an upstream, and against callers who choose their workspace.
TEST(PlatformDialect, StatesTheWorkspaceInsteadOfTheKey) {
  const auto decode = [](http::header_pairs headers) {
    return std::get<call>(
        sidecar_dialect::DecodeCall({"GET", "/a", std::move(headers), std::string()}));
  };
  const call received_call = decode({{"api-key", "secret"}, {"Tenant", "forged"}});
  EXPECT_EQ(received_call.key, kernel::api_key("secret"));
  EXPECT_TRUE(received_call.headers.empty());
  EXPECT_EQ(decode({{"Api-Key", "a"}, {"Api-Key", "b"}}).key, kernel::api_key());
  protocol::run_request run = RunWithId("7");
  const auto workspace_header = [&run] {
    const http::whole_request sent =
        sidecar_dialect::EncodeRun(run, "", kernel::upstream_id("i-1"), kernel::milliseconds(99));
    return std::string(http::FindHeader(sent.headers, "Tenant"));
  };
  EXPECT_EQ(workspace_header(), "");
  run.workspace = kernel::workspace_id("w1");
  EXPECT_EQ(workspace_header(), "w1");
}

// Guards against treating a malformed time limit as no time limit.
TEST(PlatformDialect, RejectsATimeLimitThatIsNotANumber) {
  auto decoded = sidecar_dialect::DecodeCall({"GET", "/", {{"Deadline-Ms", "soon"}}, ""});
  ASSERT_TRUE(std::holds_alternative<http::whole_response>(decoded));
  EXPECT_EQ(std::get<http::whole_response>(decoded).status, 400);
}

// Guards against telling the caller to retry a request that may have run.
TEST(PlatformDialect, MapsReplyKindsToStatuses) {
  const call received_call;
  const auto reply = [&](reply_kind kind) {
    return sidecar_dialect::Reply(received_call, kind, kernel::milliseconds(150), "why");
  };
  EXPECT_EQ(reply(reply_kind::kNotRun).status, 503);
  EXPECT_EQ(http::FindHeader(reply(reply_kind::kNotRun).headers, "Retry-After"), "0.150");
  EXPECT_EQ(reply(reply_kind::kUpstreamFailed).status, 502);
  EXPECT_EQ(reply(reply_kind::kTimeout).status, 504);
  EXPECT_EQ(reply(reply_kind::kNoRoute).status, 404);
}

// Guards against an upstream that is used although it leaves, or not used although it stays.
TEST(PlatformDialect, ReadsThatAnUpstreamLeaves) {
  EXPECT_TRUE(sidecar_dialect::ReadNotice({200, {{"Server-Leaving", "1"}}, ""}).leaving);
  EXPECT_FALSE(sidecar_dialect::ReadNotice({200, {{"Server-Leaving", "0"}}, ""}).leaving);
  EXPECT_FALSE(sidecar_dialect::ReadNotice({200, {}, ""}).leaving);
}

// Guards against a rate limit that is ignored, or read from a header that is no number.
TEST(PlatformDialect, ReadsTheRateLimitOfAnUpstream) {
  const auto limit = [](const std::string& value) {
    return sidecar_dialect::ReadNotice({200, {{"server-limit", value}}, ""}).rate_limit;
  };
  EXPECT_EQ(limit("8.6"), kernel::request_rate(8'600));
  EXPECT_EQ(limit("120"), kernel::request_rate(120'000));
  EXPECT_EQ(limit("0"), kernel::request_rate(0));
  EXPECT_FALSE(limit(""));
  EXPECT_FALSE(limit("8.6/s"));
  EXPECT_FALSE(limit("-1"));
  EXPECT_FALSE(limit("nan"));
  EXPECT_FALSE(sidecar_dialect::ReadNotice({200, {}, ""}).rate_limit);
}

// Guards against a rollout that starts with a missing, empty or malformed member.
TEST(RolloutFormat, ReadsOnlyCompleteOrders) {
  const auto read = [](std::string_view version, std::string_view duration) {
    return ReadRolloutOrder("{\"service\": \"a\", \"target_version\": " + std::string(version) +
                            ", \"duration\": " + std::string(duration) + "}");
  };
  ASSERT_TRUE(read("\"v2\"", "\"12s\""));
  EXPECT_EQ(read("\"v2\"", "\"12s\"")->duration, kernel::milliseconds(12'000));
  EXPECT_FALSE(read("\"\"", "\"12s\""));
  EXPECT_FALSE(read("2", "\"12s\""));
  for (const char* duration : {"12", "\"12\"", "\"0s\"", "\"-1s\"", "\"12m\"", "null"}) {
    EXPECT_FALSE(read("\"v2\"", duration)) << duration;
  }
  EXPECT_FALSE(ReadRolloutOrder("{\"service\": \"a\", \"target_version\": \"v2\"}"));
  EXPECT_FALSE(ReadRolloutOrder("["));
}

// Guards against a state that operators read under another name.
TEST(RolloutFormat, NamesTheServiceAndItsState) {
  EXPECT_EQ(ServiceOfRolloutTarget("/rollouts/forms?x=1"), kernel::service_name("forms"));
  rollout::rollout_record record;
  record.target = kernel::software_version("v2");
  record.state = rollout::rollout_state::kRolledBack;
  EXPECT_EQ(json::parse(SerializeRollout(record)),
            json({{"state", "rolled_back"}, {"target_version", "v2"}}));
}

}  // namespace
}  // namespace cornelweir::platform
