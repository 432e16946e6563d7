// Tests the links between control hosts that are configured with seeds.

#include "plugins/control/control_mesh.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "cornelweir/codec.h"
#include "tests/http_test_support.h"

namespace cornelweir::plugins::control {
namespace {

// Opens the listener of another control host; null if it can't listen.
std::shared_ptr<transport::listener> ListenAsHost(loop::event_loop& loop,
                                                  transport::link_handlers handlers) {
  auto opened = transport::listener::Open(loop.context(), kernel::endpoint("127.0.0.1:0"), nullptr,
                                          std::move(handlers));
  return opened ? opened.value() : nullptr;
}

settings::daemon_settings SettingsOfAHost() {
  settings::daemon_settings settings;
  settings.host = kernel::host_id("127.0.0.1:1");
  settings.control.emplace();
  return settings;
}

// Guards against a host with an empty disk that can't reply to its leader. It knows only the seeds;
// if its leader is not one of them, it would never hold a log entry.
TEST(ControlMesh, SendsToAHostThatGreetedIt) {
  loop::event_loop loop;
  int received = 0;
  transport::link_handlers handlers;
  handlers.message = [&](const std::shared_ptr<transport::link>&, std::string_view) { ++received; };
  const auto leader = ListenAsHost(loop, std::move(handlers));
  ASSERT_TRUE(leader);
  const kernel::host_id host(leader->local_endpoint().value());

  const settings::daemon_settings settings = SettingsOfAHost();
  control_mesh mesh(loop, settings, nullptr, 1);
  const protocol::control_message reply = protocol::join_request{settings.host};
  EXPECT_FALSE(mesh.Send(host, reply));
  mesh.AddPeer(host);
  http::RunUntil(loop, [&] { return mesh.IsConnected(host); });
  EXPECT_TRUE(mesh.Send(host, reply));
  http::RunUntil(loop, [&] { return received == 2; });

  mesh.SetPeers({});
  EXPECT_FALSE(mesh.IsConnected(host));
  leader->Close();
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

  const settings::daemon_settings settings = SettingsOfAHost();
  control_mesh mesh(loop, settings, nullptr, 1);
  mesh.AddPeer(host);
  // Repeats the greeting until the first attempt is old enough to be replaced.
  loop::timer greetings(loop);
  greetings.StartPeriodic(kernel::milliseconds(10), [&] { mesh.AddPeer(host); });
  http::RunUntil(loop, [&] { return mesh.IsConnected(host); });
  EXPECT_TRUE(answered);
  greetings.Cancel();
  mesh.Stop();
}

// Guards against an operator who is told the outcome of another change: the host restarts while a
// change that it forwarded is in progress, and the reply arrives after the restart.
TEST(ControlMesh, IgnoresTheReplyToAnEarlierProcess) {
  loop::event_loop loop;
  std::optional<std::uint64_t> submitted;
  transport::link_handlers handlers;
  handlers.message = [&](const std::shared_ptr<transport::link>&, std::string_view payload) {
    const auto message = codec::Decode<protocol::control_message>(payload);
    ASSERT_TRUE(message);
    if (const auto* submit = std::get_if<protocol::submit>(&message.value())) {
      submitted = submit->id;
    }
  };
  const auto leader = ListenAsHost(loop, std::move(handlers));
  ASSERT_TRUE(leader);
  const kernel::host_id host(leader->local_endpoint().value());
  const settings::daemon_settings settings = SettingsOfAHost();

  const auto submit = [&](control_mesh& mesh, control_mesh::outcome_callback callback) {
    submitted.reset();
    mesh.AddPeer(host);
    http::RunUntil(loop, [&] { return mesh.IsConnected(host); });
    mesh.Submit(host, cornelweir::control::leave_command{}, std::move(callback));
    http::RunUntil(loop, [&] { return submitted.has_value(); });
  };
  kernel::seeded_random random(11);
  control_mesh earlier(loop, settings, nullptr, random.NextU64());
  submit(earlier, [](const auto&) {});
  const std::uint64_t first_id = *submitted;
  earlier.Stop();
  bool replied = false;
  control_mesh restarted(loop, settings, nullptr, random.NextU64());
  submit(restarted, [&](const auto&) { replied = true; });
  restarted.OnReply({first_id, cornelweir::control::refused_outcome{"of the earlier change"}});
  EXPECT_FALSE(replied);
  restarted.OnReply({*submitted, cornelweir::control::refused_outcome{"of this change"}});
  EXPECT_TRUE(replied);
  restarted.Stop();
  leader->Close();
}

}  // namespace
}  // namespace cornelweir::plugins::control
