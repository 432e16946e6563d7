// Links between control hosts that find one another by seeds.

#include "plugins/control/control_mesh.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "cornelweir/codec.h"
#include "tests/http_test_support.h"

namespace cornelweir::plugins::control {
namespace {

// Guards against a host with an empty disk that can't answer its leader: it knows only the seeds,
// and its leader may be none of them, so it would never hold an entry.
TEST(ControlMesh, AnswersAHostThatItLearnedOfFromAGreeting) {
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
  mesh.Learn(host);
  http::RunUntil(loop, [&] { return mesh.IsConnected(host); });
  EXPECT_TRUE(mesh.Send(host, reply));
  http::RunUntil(loop, [&] { return received == 2; });

  mesh.SetPeers({});
  EXPECT_FALSE(mesh.IsConnected(host));
  leader.value()->Close();
}

}  // namespace
}  // namespace cornelweir::plugins::control
