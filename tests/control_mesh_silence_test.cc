// Tests that links between control hosts which carry nothing any more are replaced.

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <utility>

#include "plugins/control/control_mesh.h"
#include "tests/http_test_support.h"
#include "tests/tcp_relay.h"

namespace cornelweir::plugins::control {
namespace {

// Guards against a group that stays without a leader until its processes restart: the link to a
// host is open, and all that is sent on it is acknowledged, but it carries nothing any more in at
// least one direction.
// NOLINTNEXTLINE(readability-identifier-naming)
class ControlMeshOnASilentLink : public testing::TestWithParam<tcp_relay::direction> {};

TEST_P(ControlMeshOnASilentLink, ReplacesTheLink) {
  loop::event_loop loop;
  int received = 0;
  transport::link_handlers handlers;
  handlers.message = [&](const std::shared_ptr<transport::link>&, std::string_view) { ++received; };
  const auto other = transport::listener::Open(loop.context(), kernel::endpoint("127.0.0.1:0"),
                                               nullptr, std::move(handlers));
  ASSERT_TRUE(other);
  boost::asio::ip::tcp::endpoint address;
  ASSERT_TRUE(transport::ParseEndpoint(other.value()->local_endpoint(), address));
  tcp_relay relay(loop.context(), address);
  const kernel::host_id host("127.0.0.1:" + std::to_string(relay.endpoint().port()));

  settings::daemon_settings settings;
  settings.host = kernel::host_id("127.0.0.1:1");
  settings.control.emplace();
  control_mesh mesh(loop, settings, nullptr, 1);
  mesh.SetPeers({host});
  mesh.Start();
  http::RunUntil(loop, [&] { return mesh.IsConnected(host) && received == 1; });
  relay.Silence(GetParam());

  // The greeting on a new link, and a message on it.
  http::RunUntil(loop, [&] { return relay.accepted() == 2 && mesh.IsConnected(host); });
  mesh.Send(host, protocol::join_request{settings.host});
  http::RunUntil(loop, [&] { return received >= 3; });
  mesh.Stop();
  other.value()->Close();
}

INSTANTIATE_TEST_SUITE_P(Directions, ControlMeshOnASilentLink,
                         testing::Values(tcp_relay::direction::kToTarget,
                                         tcp_relay::direction::kFromTarget,
                                         tcp_relay::direction::kBoth));

}  // namespace
}  // namespace cornelweir::plugins::control
