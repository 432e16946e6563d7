#ifndef CORNELWEIR_TESTS_CONTROL_HOST_TEST_H_
#define CORNELWEIR_TESTS_CONTROL_HOST_TEST_H_

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>

#include "plugins/control/control_plugin.h"
#include "tests/http_test_support.h"

namespace cornelweir::plugins::control {

// A group of one control host, with its data in a temporary folder. A derived fixture destroys the
// host before its own members if the host's links call back into them.
// NOLINTNEXTLINE(readability-identifier-naming)
class ControlHostTest : public ::testing::Test {
 protected:
  ControlHostTest() {
    std::string pattern = testing::TempDir() + "control-host-XXXXXX";
    folder_ = ::mkdtemp(pattern.data());
    settings_.host = kernel::host_id("a");
    settings_.admin_listen = kernel::endpoint("127.0.0.1:0");
    settings_.control.emplace();
    settings_.control->data_folder = folder_;
    settings_.control->mesh_listen = kernel::endpoint("127.0.0.1:0");
    settings_.control->peers = {{settings_.host, {}, {}}};
    settings_.control->bootstrap = true;
    settings_.control->stable_inodes = false;
    // Ticks from the beginning, as the process does.
    pause_timer_.StartPeriodic(loop::pause_tracker::kTickPeriod, [this] {
      if (ticking_) pauses_.Tick(clock_.Now());
    });
    StartHost();
  }
  ~ControlHostTest() override {
    plugin_.reset();
    std::filesystem::remove_all(folder_);
  }

  // Starts the host on its data and waits until it leads the group.
  void StartHost() {
    auto created = control_plugin::Create(context_);
    ASSERT_TRUE(created);
    plugin_ = created.value();
    plugin_->Start();
    http::RunUntil(loop_, [this] { return plugin_->local_replica().node().IsLeader(); });
  }

  std::string folder_;
  loop::event_loop loop_;
  loop::timer pause_timer_{loop_};
  bool ticking_ = true;
  settings::daemon_settings settings_;
  http::admin_server admin_{loop_};
  metrics::metrics_registry metrics_;
  kernel::seeded_random random_{7};
  kernel::steady_clock_source clock_;
  loop::pause_tracker pauses_{clock_.Now()};
  daemon_context context_{loop_, settings_, admin_, metrics_, random_, clock_, pauses_, nullptr};
  std::shared_ptr<control_plugin> plugin_;
};

}  // namespace cornelweir::plugins::control

#endif  // CORNELWEIR_TESTS_CONTROL_HOST_TEST_H_
