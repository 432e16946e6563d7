// Tests which peers are accepted on a link and which roles their certificates allow them to claim.

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

// NOLINTNEXTLINE(readability-identifier-naming)
class RolesTest : public ::testing::Test {
 protected:
  RolesTest()
      : folder_(std::filesystem::temp_directory_path() /
                ("cornelweir-roles-" + std::to_string(getpid()))) {}
  ~RolesTest() override { std::filesystem::remove_all(folder_); }

  static transport::tls_context Load(const transport::tls_files& files) {
    auto loaded = transport::LoadTlsContext(files);
    return loaded ? loaded.value() : nullptr;
  }

  // Connects with a client TLS context and claims a role. Returns the greeting that the listener
  // accepted, if any.
  std::optional<protocol::hello> Greet(const transport::tls_context& client_tls,
                                       protocol::process_role claimed_role) {
    std::optional<protocol::hello> accepted;
    std::shared_ptr<transport::listener> server;
    link_handlers listener_handlers;
    listener_handlers.message = [&](const std::shared_ptr<link>& sender, std::string_view payload) {
      accepted = ReadGreeting(*sender, payload, /*tls=*/true);
      sender->Close("read");
    };
    auto opened =
        transport::listener::Open(context_, kernel::endpoint("127.0.0.1:0"),
                                  Load(authority_.Issue("server", "control")), listener_handlers);
    if (!opened) return std::nullopt;
    server = opened.value();
    link_handlers client_handlers;
    client_handlers.opened = [&](const std::shared_ptr<link>& opened_link) {
      const protocol::daemon_message greeting = Greeting(claimed_role, kernel::host_id("peer"));
      opened_link->Send(codec::Encode(greeting));
    };
    client_handlers.closed = [&](const std::shared_ptr<link>&, const std::string&) {
      server->Close();
    };
    const auto client =
        link::Connect(context_, server->local_endpoint(), client_tls, client_handlers);
    context_.restart();
    context_.run();
    return accepted;
  }

  std::filesystem::path folder_;
  tests::test_authority authority_{folder_};
  boost::asio::io_context context_{1};
};

TEST_F(RolesTest, AcceptsTheRolesThatTheCertificateAllows) {
  const auto proxy = Load(authority_.Issue("a", "proxy"));
  const auto control = Load(authority_.Issue("b", "control"));
  EXPECT_TRUE(Greet(proxy, protocol::process_role::kProxy));
  EXPECT_TRUE(Greet(control, protocol::process_role::kProxy));
  EXPECT_TRUE(Greet(control, protocol::process_role::kControl));
}

// Guards against a proxy's certificate being enough to join the replicated log.
TEST_F(RolesTest, RejectsAProxyThatClaimsToBeAControlHost) {
  EXPECT_FALSE(Greet(Load(authority_.Issue("a", "proxy")), protocol::process_role::kControl));
}

// Guards against a certificate with an unknown role being accepted as a proxy's.
TEST_F(RolesTest, RejectsACertificateWithAnUnknownRole) {
  const auto other = Load(authority_.Issue("a", "operator"));
  EXPECT_FALSE(Greet(other, protocol::process_role::kProxy));
  EXPECT_FALSE(Greet(other, protocol::process_role::kControl));
}

// Guards against peers without a certificate, or with one of another authority, being accepted.
TEST_F(RolesTest, RejectsAnUnauthenticatedPeer) {
  EXPECT_FALSE(Greet(nullptr, protocol::process_role::kProxy));
  tests::test_authority other_authority(folder_ / "stranger");
  EXPECT_FALSE(
      Greet(Load(other_authority.Issue("a", "control")), protocol::process_role::kControl));
}

// Guards against starting with a missing key file, and against an error that doesn't name it.
TEST_F(RolesTest, ReportsTheNameOfAMissingKeyFile) {
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
