// Which peers get a link, and which roles they may claim.

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <optional>
#include <string>

#include "cornelweir/codec.h"
#include "plugins/greeting.h"
#include "tests/test_authority.h"

namespace cornelweir::plugins {
namespace {

using transport::link;
using transport::link_handlers;

class greetings : public ::testing::Test {
 protected:
  greetings()
      : folder_(std::filesystem::temp_directory_path() /
                ("cornelweir-roles-" + std::to_string(getpid()))) {}
  ~greetings() override { std::filesystem::remove_all(folder_); }

  static transport::tls_context Load(const transport::tls_files& files) {
    auto loaded = transport::LoadTlsContext(files);
    return loaded ? loaded.value() : nullptr;
  }

  // Connects with these keys and claims a role. Returns the greeting that the listener accepted.
  std::optional<protocol::hello> Greet(const transport::tls_context& keys,
                                       protocol::process_role claimed) {
    std::optional<protocol::hello> accepted;
    std::shared_ptr<transport::listener> server;
    link_handlers serving;
    serving.message = [&](const std::shared_ptr<link>& from, std::string_view payload) {
      accepted = ReadGreeting(*from, payload, /*tls=*/true);
      from->Close("read");
    };
    auto opened = transport::listener::Open(context_, kernel::endpoint("127.0.0.1:0"),
                                            Load(authority_.Issue("server", "control")), serving);
    if (!opened) return std::nullopt;
    server = opened.value();
    link_handlers calling;
    calling.opened = [&](const std::shared_ptr<link>& self) {
      const protocol::daemon_message greeting = Greeting(claimed, kernel::host_id("peer"));
      self->Send(codec::Encode(greeting));
    };
    calling.closed = [&](const std::shared_ptr<link>&, const std::string&) { server->Close(); };
    const auto client = link::Connect(context_, server->local_endpoint(), keys, calling);
    context_.restart();
    context_.run();
    return accepted;
  }

  std::filesystem::path folder_;
  tests::test_authority authority_{folder_};
  boost::asio::io_context context_{1};
};

TEST_F(greetings, AProxyMayBeAProxyAndAControlHostMayBeBoth) {
  const auto proxy = Load(authority_.Issue("a", "proxy"));
  const auto control = Load(authority_.Issue("b", "control"));
  EXPECT_TRUE(Greet(proxy, protocol::process_role::kProxy));
  EXPECT_TRUE(Greet(control, protocol::process_role::kProxy));
  EXPECT_TRUE(Greet(control, protocol::process_role::kControl));
}

// Guards against a daemon's key being enough to join the replicated log.
TEST_F(greetings, AProxyMayNotClaimToBeAControlHost) {
  EXPECT_FALSE(Greet(Load(authority_.Issue("a", "proxy")), protocol::process_role::kControl));
}

// Guards against a certificate without a known role being taken for a proxy's.
TEST_F(greetings, AnUnknownRoleGetsNothing) {
  const auto other = Load(authority_.Issue("a", "operator"));
  EXPECT_FALSE(Greet(other, protocol::process_role::kProxy));
  EXPECT_FALSE(Greet(other, protocol::process_role::kControl));
}

// Guards against peers without keys, or with keys of another authority, getting a link.
TEST_F(greetings, AnUnauthenticatedPeerGetsNothing) {
  EXPECT_FALSE(Greet(nullptr, protocol::process_role::kProxy));
  tests::test_authority stranger(folder_ / "stranger");
  EXPECT_FALSE(Greet(Load(stranger.Issue("a", "control")), protocol::process_role::kControl));
}

// Guards against a start with keys that can't be used.
TEST_F(greetings, AMissingKeyFileIsReportedWithItsName) {
  transport::tls_files files = authority_.Issue("a", "proxy");
  files.key_file = (folder_ / "absent.key").string();
  const std::string detail = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(transport::LoadTlsContext(files));
        return std::string();
      },
      [](const transport::transport_error& error) { return error.detail; },
      [] { return std::string(); });
  EXPECT_NE(detail.find("absent.key"), std::string::npos);
}

}  // namespace
}  // namespace cornelweir::plugins
