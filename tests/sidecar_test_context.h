#ifndef CORNELWEIR_TESTS_SIDECAR_TEST_CONTEXT_H_
#define CORNELWEIR_TESTS_SIDECAR_TEST_CONTEXT_H_

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "cornelweir/metrics.h"
#include "cornelweir/settings.h"
#include "plugins/daemon_context.h"

namespace cornelweir::plugins::sidecar {

// What the parts of a sidecar need from their daemon.
struct sidecar_test_context {
  sidecar_test_context() {
    settings.sidecar.emplace();
    settings.sidecar->service = kernel::service_name("forms");
    settings.sidecar->upstream = kernel::endpoint("127.0.0.1:1");
    settings.sidecar->peers_listen = kernel::endpoint("127.0.0.1:2");
  }

  loop::event_loop loop;
  settings::daemon_settings settings;
  http::admin_server admin{loop};
  metrics::metrics_registry metrics;
  kernel::seeded_random random{7};
  kernel::steady_clock_source clock;
  loop::pause_tracker pauses{clock.Now()};
  daemon_context context{loop, settings, admin, metrics, random, clock, pauses, nullptr};
};

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_TESTS_SIDECAR_TEST_CONTEXT_H_
