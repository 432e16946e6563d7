// Tests the links between control hosts that are configured with seeds.

#include "plugins/control/control_mesh.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <utility>

#include "cornelweir/codec.h"
#include "tests/http_test_support.h"

namespace cornelweir::plugins::control {
namespace {

// Guards against a host with an empty disk that can't reply to its leader. It knows only the seeds;
// if its leader is not one of them, it would never hold a log entry.
TEST(ControlMesh, SendsToAHostThatGreetedIt) {
  loop::event_loop loop;
  int received = 0;
  transport::link_handlers handlers;
  handlers.message = [&](const std::shared_ptr<transport::link>&, std::string_view) { ++received; };
  auto leader = transport::listener::Open(loop.context(), kernel::endpoint("127.0.0.1:0"), nullptr,
                                          std::move(handlers));
  ASSERT_TRUE(leader);
  const kernel::host_id host(leader.value()->local_endpoint().value());

  settings::daemon_settings settings;
  settings.host = kernel::host_id("127.0.0.1:1");
  settings.control.emplace();
  control_mesh mesh(loop, settings, nullptr);
  const protocol::control_message reply = protocol::join_request{settings.host};
  EXPECT_FALSE(mesh.Send(host, reply));
  mesh.AddPeer(host);
  http::RunUntil(loop, [&] { return mesh.IsConnected(host); });
  EXPECT_TRUE(mesh.Send(host, reply));
  http::RunUntil(loop, [&] { return received == 2; });

  mesh.SetPeers({});
  EXPECT_FALSE(mesh.IsConnected(host));
  leader.value()->Close();
}

// Guards against a group that has no leader for more than a second after all hosts lost power: a
// connection attempt that began while the other host was down gets no reply.
TEST(ControlMesh, ReplacesAnAttemptThatBeganBeforeTheHostCouldAnswer) {
  loop::event_loop loop;
  boost::asio::ip::tcp::acceptor acceptor(loop.context(),
                                          {boost::asio::ip::make_address("127.0.0.1"), 0});
  boost::asio::ip::tcp::socket unanswered(loop.context());
  std::shared_ptr<transport::link> answered;
  acceptor.async_accept(unanswered, [&](const boost::system::error_code& first) {
    ASSERT_FALSE(first);
    acceptor.async_accept(
        [&](const boost::system::error_code& second, boost::asio::ip::tcp::socket socket) {
          if (!second) {
            answered = transport::link::Accept(loop.context(), std::move(socket), nullptr, {});
          }
        });
  });
  const kernel::host_id host("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));

  settings::daemon_settings settings;
  settings.host = kernel::host_id("127.0.0.1:1");
  settings.control.emplace();
  control_mesh mesh(loop, settings, nullptr);
  mesh.AddPeer(host);
  // Repeats the greeting until the first attempt is old enough to be replaced.
  loop::timer greetings(loop);
  greetings.StartPeriodic(kernel::milliseconds(10), [&] { mesh.AddPeer(host); });
  http::RunUntil(loop, [&] { return mesh.IsConnected(host); });
  EXPECT_TRUE(answered);
  greetings.Cancel();
  mesh.Stop();
}

}  // namespace
}  // namespace cornelweir::plugins::control
