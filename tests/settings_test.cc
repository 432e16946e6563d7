#include "cornelweir/settings.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "cornelweir/shutdown.h"

namespace cornelweir::settings {
namespace {

constexpr const char* kBothRoles = R"({
  // Both roles on one machine.
  "host": "c1", "failure_domain": "a", "region": "ro-central",
  "admin_listen": "127.0.0.1:7000",
  "plugins": ["control", "proxy"],
  "control": {
    "data_folder": "/var/lib/cornelweir",
    "mesh_listen": "127.0.0.1:7001", /* other control hosts connect here */
    "peers": [{"host": "c1", "mesh": "127.0.0.1:7001", "admin": "127.0.0.1:7000"}],
    "bootstrap": true
  },
  "proxy": {
    "service": "forms", "data_listen": "127.0.0.1:8000", "mesh_listen": "[::1]:8001",
    "control_hosts": ["127.0.0.1:7001"], "drain_ms": 250
  }
})";

std::vector<settings_fault> FaultsOf(const std::string& text,
                                     const std::vector<std::string>& overrides = {}) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::vector<settings_fault>> {
        BOOST_LEAF_CHECK(ParseSettings(text, overrides));
        return std::vector<settings_fault>{};
      },
      [](const settings_error& error) { return error.faults; },
      [] {
        return std::vector<settings_fault>{{"?", "no settings_error"}};
      });
}

std::string ReasonAt(const std::vector<settings_fault>& faults, const std::string& place) {
  const auto found = std::find_if(faults.begin(), faults.end(), [&](const settings_fault& fault) {
    return fault.place == place;
  });
  return found == faults.end() ? "" : found->reason;
}

// Guards against a daemon that does not start because a limit that a platform has worked out is not
// a whole number.
TEST(Settings, ReadsARetrySlackThatIsNotWhole) {
  const auto settings = ParseSettings(R"({
    "host": "s1", "failure_domain": "a", "region": "r", "admin_listen": "127.0.0.1:7000",
    "plugins": ["platform_sidecar"],
    "sidecar": {
      "service": "forms", "upstream": "127.0.0.1:9000", "callers_listen": "127.0.0.1:9001",
      "peers_listen": "127.0.0.1:9002", "readiness_listen": "127.0.0.1:9003",
      "announce_listen": "127.0.0.1:9004", "seeds": ["127.0.0.1:9005"], "control_port": 9006,
      "retry_ratio": 0.2, "retry_slack": 64.5, "quota_slack": 25
    }
  })",
                                      {});
  ASSERT_TRUE(settings);
  EXPECT_DOUBLE_EQ(settings->sidecar->retry_slack, 64.5);
  EXPECT_DOUBLE_EQ(settings->sidecar->quota.slack, 25);
  EXPECT_DOUBLE_EQ(settings->sidecar->retry_ratio, 0.2);
}

TEST(Settings, ReadsBothRolesWithCommentsAndDefaults) {
  const auto settings = ParseSettings(kBothRoles, {});
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->host, kernel::host_id("c1"));
  EXPECT_TRUE(settings->control->bootstrap);
  EXPECT_EQ(settings->control->peers.at(0).admin, kernel::endpoint("127.0.0.1:7000"));
  EXPECT_EQ(settings->proxy->drain_ms, 250);
  EXPECT_EQ(settings->proxy->max_body_bytes, kDefaultMaxBodyBytes);
  EXPECT_FALSE(settings->tls.enabled);
}

// Guards against a process that ends later than the setting of its role allows, or a section of a
// plug-in that is not used and delays the end.
TEST(Settings, TheGracePeriodIsThatOfTheRolesInUse) {
  daemon_settings settings;
  settings.control.emplace().shutdown_ms = 700;
  settings.proxy.emplace();
  EXPECT_EQ(GracePeriod(settings), kernel::milliseconds(0));
  settings.plugins = {"control"};
  EXPECT_EQ(GracePeriod(settings), kernel::milliseconds(700));
  settings.sidecar.emplace().shutdown_ms = 900;
  EXPECT_EQ(GracePeriod(settings), kernel::milliseconds(900));
  settings.plugins.emplace_back("proxy");
  settings.proxy->drain_ms = 20'000;
  EXPECT_EQ(GracePeriod(settings), kernel::milliseconds(20'000) + shutdown::kProxyReserve);
}

TEST(Settings, OverridesReplaceTextsNumbersFlagsAndLists) {
  const auto settings = ParseSettings(
      kBothRoles, {"control.data_folder=/tmp/x", "proxy.data_listen=127.0.0.1:0",
                   "proxy.max_connections_per_peer=7", "control.bootstrap=false",
                   "proxy.control_hosts=127.0.0.1:1,127.0.0.1:2",
                   R"(control.peers=[{"host":"c1","mesh":"127.0.0.1:0","admin":"127.0.0.1:0"}])"});
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->control->data_folder, "/tmp/x");
  EXPECT_EQ(settings->proxy->data_listen, kernel::endpoint("127.0.0.1:0"));
  EXPECT_EQ(settings->proxy->max_connections_per_peer, 7);
  EXPECT_FALSE(settings->control->bootstrap);
  EXPECT_EQ(settings->proxy->control_hosts.size(), 2U);
  EXPECT_EQ(settings->control->peers.at(0).mesh, kernel::endpoint("127.0.0.1:0"));
}

// Guards against a text that looks like a number being read as one in a host name.
TEST(Settings, AnOverrideIsConvertedAsItsKeyAsks) {
  const auto settings = ParseSettings(kBothRoles, {"region=7"});
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->region, "7");
}

// Guards against a misspelt key that silently leaves the default in force.
TEST(Settings, RefusesUnknownKeysAndNamesTheNearest) {
  const auto faults = FaultsOf(kBothRoles, {"proxy.drain_sm=9", "plugin=control", "zzzzzz.q=1"});
  ASSERT_EQ(faults.size(), 3U);
  EXPECT_NE(ReasonAt(faults, "proxy.drain_sm").find("'drain_ms'"), std::string::npos);
  EXPECT_NE(ReasonAt(faults, "plugin").find("'plugins'"), std::string::npos);
  EXPECT_EQ(ReasonAt(faults, "zzzzzz"), "is not a known key");
}

// Guards against an operator who has to start the daemon once for each fault.
TEST(Settings, ReportsEveryFaultInOneRun) {
  const auto faults = FaultsOf(R"({"host": "bad name", "region": 7, "admin_listen": "localhost:1",
      "plugins": ["control", "control"], "proxy": {"service": "forms", "data_listen": "127.0.0.1",
      "mesh_listen": "127.0.0.1:70000", "control_hosts": ["127.0.0.1:0"], "drain_ms": -1,
      "max_body_bytes": "many"}})");
  for (const char* place : {"host", "failure_domain", "region", "admin_listen", "plugins[1]",
                            "control", "proxy.data_listen", "proxy.mesh_listen",
                            "proxy.control_hosts[0]", "proxy.drain_ms", "proxy.max_body_bytes"}) {
    EXPECT_NE(ReasonAt(faults, place), "") << place;
  }
  EXPECT_EQ(faults.size(), 11U);
}

// Guards against plain text between hosts.
TEST(Settings, RefusesAnOpenAddressWithoutTls) {
  const auto faults = FaultsOf(kBothRoles, {"proxy.data_listen=0.0.0.0:8000"});
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults[0].place, "proxy.data_listen");
  EXPECT_TRUE(ParseSettings(
      kBothRoles, {"proxy.data_listen=0.0.0.0:8000", "tls.enabled=true", "tls.key_file=/k",
                   "tls.certificate_file=/c", "tls.authority_file=/a"}));
  EXPECT_EQ(FaultsOf(kBothRoles, {"tls.enabled=true"}).size(), 3U);
}

// Guards against a control host that is left out of its own group.
TEST(Settings, RefusesPeersWithoutThisHostOrWithOneTwice) {
  EXPECT_EQ(ReasonAt(FaultsOf(kBothRoles, {"host=c2"}), "control.peers"),
            "this host, 'c2', is not in the list");
  const auto faults = FaultsOf(
      kBothRoles, {R"(control.peers=[{"host":"c1","mesh":"127.0.0.1:1","admin":"127.0.0.1:2"},)"
                   R"({"host":"c1","mesh":"127.0.0.1:1","admin":"127.0.0.1:3"}])"});
  EXPECT_EQ(faults.size(), 2U);
}

// Guards against the parser's rule that the last of two equal keys wins.
TEST(Settings, RefusesAKeyThatOccursTwice) {
  std::string text = kBothRoles;
  text.insert(1, R"("region": "elsewhere",)");
  EXPECT_EQ(ReasonAt(FaultsOf(text), "region"), "the key occurs twice");
}

TEST(Settings, NamesTheFileThatCannotBeRead) {
  const auto reason = boost::leaf::try_handle_all(
      []() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(LoadSettings("/nonexistent/settings.json", {}));
        return std::string();
      },
      [](const settings_error& error) { return ToString(error); }, [] { return std::string(); });
  EXPECT_EQ(reason, "/nonexistent/settings.json: the file is empty, absent or not readable\n");
}

// Replaces the value of one key, or a piece at any place, by a fragment of JSON.
std::string Mutate(std::string text, std::uint16_t at, bool whole_value,
                   const std::string& fragment) {
  std::size_t begin = at % text.size();
  std::size_t end = std::min(begin + 3, text.size());
  if (whole_value) {
    begin = text.find(": ", begin);
    if (begin == std::string::npos) begin = text.find(": ");
    begin += 2;
    end = text.find_first_of(",}]\n", begin);
  }
  return text.replace(begin, end - begin, fragment);
}

// Guards against a crash, and against a refusal without a reason, on any damaged file.
TEST(Settings, MutatedInputIsReadOrRefusedWithReasons) {
  EXPECT_TRUE(rc::check([](std::uint16_t at, bool whole_value, const std::string& junk) {
    const auto fragment = *rc::gen::element<std::string>(
        "null", "7", "-1.5e300", "[]", "[[]]", "[{}]", "{}", "{\"host\": 1}", "\"\"", "\"c1\"",
        "18446744073709551615", "true", "/*", "\"\\u0000\"", "", junk);
    const auto key = *rc::gen::element<std::string>(
        "", "host", "plugins", "control", "control.peers", "control.bootstrap", "proxy.drain_ms",
        "proxy.control_hosts", "tls.enabled", "tls..key_file", "host.name");
    const std::string text = Mutate(kBothRoles, at, whole_value, fragment);
    const std::string assignment = key + "=" + fragment;
    const bool read = ParseSettings(text, {assignment}).has_value();
    const auto faults = FaultsOf(text, {assignment});
    RC_ASSERT(read == faults.empty());
    RC_ASSERT(std::none_of(faults.begin(), faults.end(),
                           [](const settings_fault& fault) { return fault.reason.empty(); }));
  }));
}

constexpr std::string_view kSeededControl = R"({
  "host": "c1", "failure_domain": "a", "region": "r", "admin_listen": "10.0.0.1:9464",
  "plugins": ["control"], "trusted_network": true,
  "control": {"data_folder": "/data", "mesh_listen": "10.0.0.1:7000",
              "policy_listen": "10.0.0.1:8000", "seeds": ["10.0.0.1:8000", "10.0.0.2:8000"],
              "tolerated_losses": 2, "bootstrap": true, "stable_inodes": false}})";

// Guards against hosts of a group found by seeds that can't be reached under their id.
TEST(Settings, KnowsAHostOfASeededGroupByItsMeshEndpoint) {
  const auto settings = ParseSettings(kSeededControl, {});
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->host, kernel::host_id("10.0.0.1:7000"));
  EXPECT_EQ(settings->control->seeds.size(), 2U);
  EXPECT_EQ(settings->control->tolerated_losses, 2);
  EXPECT_FALSE(settings->control->stable_inodes);
}

// Guards against links without TLS off loopback that nobody asked for.
TEST(Settings, AllowsLinksWithoutTlsOnlyOnATrustedNetwork) {
  std::string text(kSeededControl);
  const std::string flag = R"("trusted_network": true,)";
  text.erase(text.find(flag), flag.size());
  EXPECT_FALSE(ParseSettings(text, {}));
}

constexpr std::string_view kSidecar = R"({
  "host": "h1", "failure_domain": "a", "region": "r", "admin_listen": "127.0.0.1:9464",
  "plugins": ["platform_sidecar"], "trusted_network": true,
  "sidecar": {"service": "forms", "upstream": "127.0.0.1:1", "callers_listen": "127.0.0.1:0",
              "peers_listen": "127.0.0.1:0", "readiness_listen": "127.0.0.1:0",
              "announce_listen": "127.0.0.1:0", "seeds": ["127.0.0.1:1"], "control_port": 1}})";

// Guards against a grace period without time for requests, which would cut every one of them at a
// stop.
TEST(Settings, RefusesAGracePeriodWithinTheReserves) {
  for (const char* value : {"shutdown_ms=0", "shutdown_ms=900", "shutdown=0s", "shutdown=0.9s"}) {
    EXPECT_FALSE(ParseSettings(kSidecar, {"sidecar." + std::string(value)})) << value;
  }
  EXPECT_TRUE(ParseSettings(kSidecar, {"sidecar.shutdown=901ms"}));
  EXPECT_FALSE(ParseSettings(kSeededControl, {"control.shutdown_ms=600"}));
  EXPECT_TRUE(ParseSettings(kSeededControl, {"control.shutdown_ms=601"}));
}

// Guards against one of two contradicting values that is used without notice.
TEST(Settings, ReadsATimeWithOrWithoutItsUnitInTheKey) {
  EXPECT_EQ(ParseSettings(kSidecar, {"sidecar.shutdown=2.5s"})->sidecar->shutdown_ms, 2'500);
  EXPECT_EQ(ParseSettings(kSidecar, {"sidecar.shutdown_ms=2500"})->sidecar->shutdown_ms, 2'500);
  EXPECT_FALSE(ParseSettings(kSidecar, {"sidecar.shutdown=3s", "sidecar.shutdown_ms=3000"}));
  EXPECT_FALSE(ParseSettings(kSidecar, {"sidecar.shutdown=nans"}));
}

}  // namespace
}  // namespace cornelweir::settings
