// Tests the verb "check", which needs no control host.

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "cornelweir/src/codec/sha256.h"
#include "platform/policy_format.h"
#include "programs/cornelweirctl/command_line.h"
#include "programs/cornelweirctl/printable.h"
#include "tests/fake_control_host.h"

namespace cornelweir::ctl {
namespace {

constexpr std::string_view kDocument = R"({"version": "c",
  "services": [{"name": "a", "health_check": "/h", "max_connections": 9}],
  "limits": {"max_header_bytes": 1, "max_body_bytes": 1, "header_timeout": "1s",
             "idle_timeout": "1s"},
  "tenants": [{"name": "north", "api_keys": ["secret-1"], "rate_per_s": 5}],
  "virtual_hosts": [{"host": "x.example", "host_routes": [
    {"name": "r1", "path_prefix": "/p/", "route_type": "safe", "timeout": "1.2s",
     "target_latency": "600ms", "priority": 2, "attempts": 2, "service": "a"}]}]})";

std::string Replaced(std::string_view from, std::string_view to) {
  std::string text(kDocument);
  return text.replace(text.find(from), from.size(), to);
}

class CheckVerb : public testing::Test {  // NOLINT(readability-identifier-naming)
 protected:
  ~CheckVerb() override {
    for (const std::string& path : paths_) std::remove(path.c_str());
  }

  std::string Write(std::string_view text) {
    std::string path = testing::TempDir() + "check-XXXXXX";
    EXPECT_GE(::mkstemp(path.data()), 0);
    std::ofstream(path, std::ios::binary) << text;
    paths_.push_back(path);
    return path;
  }

  exit_code Run(std::vector<std::string> words) {
    out_.str("");
    words.insert(words.begin(), "check");
    return RunCommand(words, {"", "ana", {}}, loop_, random_, out_, out_);
  }

  boost::asio::io_context loop_{1};
  kernel::seeded_random random_{7};
  std::ostringstream out_;
  std::vector<std::string> paths_;
};

// Guards against scripts that send a policy although it has errors, or can't tell why it was not
// checked.
TEST_F(CheckVerb, ExitsWithACodeForEachResult) {
  EXPECT_EQ(Run({Write(kDocument), "--strict"}), exit_code{0});
  const std::string doubtful = Write(Replaced("600ms", "1300ms"));
  EXPECT_EQ(Run({doubtful}), exit_code{0});
  EXPECT_EQ(Run({doubtful, "--strict"}), exit_code{1});
  EXPECT_EQ(Run({Write(Replaced("\"attempts\": 2", "\"attempts\": 0"))}), exit_code{2});
  EXPECT_EQ(Run({Write("{\n  \"version\": }")}), exit_code{2});
  EXPECT_EQ(out_.str(),
            "error: line 2, column 14: is not JSON from here on\n1 error, 0 warnings\n");
  EXPECT_EQ(Run({testing::TempDir() + "no-such-file"}), exit_code{3});
  EXPECT_EQ(Run({testing::TempDir()}), exit_code{3});
  EXPECT_EQ(Run({Write(std::string(platform::kMaxPolicyBytes + 1, ' '))}), exit_code{3});
  EXPECT_EQ(Run({Write(kDocument), "--against", Write("[]")}), exit_code{3});
}

// Guards against operators who mend one malformed member after the other, and against a key in the
// output.
TEST_F(CheckVerb, ListsEveryMalformedMemberAndNoKey) {
  std::string text = Replaced("\"safe\"", "\"often\"");
  text.replace(text.find("\"1.2s\""), 6, "\"1e300s\"");
  text.replace(text.find("\"max_connections\": 9"), 20, "\"max_connections\": 4294967297");
  text.replace(text.find("\"secret-1\""), 10, "\"secret-1\", 7");
  EXPECT_EQ(Run({Write(text)}), exit_code{2});
  for (const char* place :
       {"virtual_hosts[0].host_routes[0].route_type", "virtual_hosts[0].host_routes[0].timeout",
        "services[0].max_connections", "tenants[0].api_keys", "4 errors"}) {
    EXPECT_NE(out_.str().find(place), std::string::npos) << place << " in " << out_.str();
  }
  EXPECT_EQ(out_.str().find("secret"), std::string::npos);
  EXPECT_EQ(Run({Write(Replaced("secret-1", "secret-2")), "--against", Write(kDocument), "--output",
                 "json"}),
            exit_code{0});
  EXPECT_NE(out_.str().find("1 (1 added, 1 removed)"), std::string::npos) << out_.str();
  EXPECT_EQ(out_.str().find("secret"), std::string::npos);
}

// The response of a control host in which kDocument is in force, with digests instead of keys.
codec::json PolicyReply() {
  policy::policy_table table = platform::ReadPolicy(kDocument).table;
  policy::ReplaceKeys(table, codec::Sha256Hex);
  return codec::ToJson(table);
}

// Guards against a comparison with another version than the one in force, against keys in the
// output, and against a script that takes a failed comparison for a success.
TEST_F(CheckVerb, ComparesWithTheVersionInForce) {
  fake_control_host host(loop_);
  policy::service_state state{kernel::service_name("a"), 1, 9, kernel::request_rate(4'000), {}};
  host.answer_with = [&](const fake_control_host::request& request) {
    if (request.target == "/v1/policy") return fake_control_host::answer(200, PolicyReply());
    return fake_control_host::answer(200, {{"services", codec::ToJson(std::vector{state})}});
  };
  const std::string same = Write(kDocument);
  EXPECT_EQ(Run({same, "--against", host.Endpoint()}), exit_code{0});
  EXPECT_EQ(out_.str(),
            "warning: workspaces: their rates sum to 5/s, but the upstreams of the routed services "
            "take at most 4/s\nchanges from version 0000000c to 0000000c: 0\n0 errors, 1 "
            "warning\n");
  EXPECT_EQ(Run({Write(Replaced("secret-1", "secret-2")), "--against", host.Endpoint()}),
            exit_code{0});
  EXPECT_NE(out_.str().find("1 (1 added, 1 removed)"), std::string::npos) << out_.str();
  EXPECT_EQ(out_.str().find("secret"), std::string::npos);
  EXPECT_EQ(out_.str().find(codec::Sha256Hex("secret-2")), std::string::npos);
  EXPECT_EQ(Run({same, "--against", "127.0.0.1:1"}), exit_code{3});
  host.answer_with = [](const auto&) { return fake_control_host::answer(404, {{"a", 1}}); };
  EXPECT_EQ(Run({same, "--against", host.Endpoint()}), exit_code{3});
  host.answer_with = [](const auto&) { return fake_control_host::answer::Cut(); };
  EXPECT_EQ(Run({same, "--against", host.Endpoint()}), exit_code{3});
}

// Guards against a control host whose answer crashes the tool or controls the terminal.
TEST_F(CheckVerb, ReadsAnyAnswerOfAControlHost) {
  fake_control_host host(loop_);
  const std::string path = Write(kDocument);
  const std::string whole = PolicyReply().dump();
  EXPECT_TRUE(rc::check([&] {
    const auto at = *rc::gen::inRange<std::size_t>(0, whole.size());
    const auto length = *rc::gen::inRange<std::size_t>(0, 40);
    const auto bytes = *rc::gen::oneOf(
        rc::gen::arbitrary<std::string>(),
        rc::gen::element<std::string>("null", "-1", "1e99", "\"\\u001b\"", std::string(99, '[')));
    host.answer_with = [&](const fake_control_host::request& request) {
      fake_control_host::answer reply(200, {{"services", codec::json::array()}});
      if (request.target == "/v1/policy")
        reply.body = std::string(whole).replace(at, length, bytes);
      return reply;
    };
    const exit_code code = Run({path, "--against", host.Endpoint()});
    RC_ASSERT(code == exit_code{0} || code == exit_code{3});
    RC_ASSERT(out_.str().find('\x1b') == std::string::npos);
    RC_ASSERT(out_.str().find("secret") == std::string::npos);
  }));
}

// Guards against a small document that takes gigabytes, as each level of nesting takes memory.
TEST_F(CheckVerb, BoundsTheDepthOfADocument) {
  for (const std::string opening : {"[", "{\"a\":", "{\"\\\"[]\":[[],"}) {
    std::string text;
    while (text.size() < 1'000'000) text += opening;
    EXPECT_EQ(Run({Write(text)}), exit_code{2});
    EXPECT_EQ(out_.str(), "error: document: is nested too deeply\n1 error, 0 warnings\n");
  }
  std::string brackets = "\"" + std::string(99, '[') + "\\\"" + std::string(99, '{') + "\"";
  EXPECT_EQ(Run({Write(Replaced("\"r1\"", brackets))}), exit_code{0});
}

// Guards against a document that crashes a control host or the tool.
TEST_F(CheckVerb, ReadsAnyBytes) {
  EXPECT_TRUE(rc::check([this] {
    std::string text(kDocument);
    const auto changes = *rc::gen::inRange(0, 4);
    for (int i = 0; i < changes; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto length = *rc::gen::inRange<std::size_t>(0, 40);
      text.replace(at, length,
                   *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                                   rc::gen::element<std::string>("null", "[]", "{}", "-1", "1e999",
                                                                 "\"\xc2\x9b\"", "\"", "[[[[",
                                                                 std::string(99, '{'))));
    }
    const platform::policy_document read = platform::ReadPolicy(text);
    if (read.errors.empty()) {
      policy::FindWarnings(read.table);
      const bool is_valid = policy::FindErrors(read.table).empty();
      RC_ASSERT(is_valid == policy::Validate(read.table).empty());
      const auto again = platform::ReadPolicy(platform::SerializePolicy(read.table));
      RC_ASSERT(again.errors.empty() && again.table == read.table);
    }
    const exit_code code = Run({Write(text)});
    RC_ASSERT(code == exit_code{0} || code == exit_code{2} || text.empty());
    RC_ASSERT(out_.str().find('\x1b') == std::string::npos);
  }));
  EXPECT_EQ(Printable("a\x1b[2J\xc2\x9b\xc3\xa4"), "a\\x1b[2J\\xc2\\x9b\xc3\xa4");
}

}  // namespace
}  // namespace cornelweir::ctl
