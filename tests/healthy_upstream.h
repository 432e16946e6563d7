#ifndef CORNELWEIR_TESTS_HEALTHY_UPSTREAM_H_
#define CORNELWEIR_TESTS_HEALTHY_UPSTREAM_H_

#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "plugins/sidecar/upstream_dispatcher.h"
#include "tests/http_test_support.h"
#include "tests/sidecar_test_context.h"

namespace cornelweir::plugins::sidecar {

// The health response of an upstream, as ReadHealthResponses() lets a daemon read it.
inline std::string HealthResponse(const std::string& upstream) {
  return "HTTP/1.1 200 OK\r\nUpstream: " + upstream +
         "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
}

// Adds the functions that read health responses.
inline void ReadHealthResponses(dialect_functions& dialect) {
  dialect.has_request_id = [](const http::whole_response&) { return false; };
  dialect.read_notice = [](const http::whole_response&) { return upstream_notice(); };
  dialect.healthy_upstream = [](const http::whole_response& response) {
    return kernel::upstream_id(std::string(http::FindHeader(response.headers, "Upstream")));
  };
}

// Announces an upstream and waits until its health response has arrived, so that it is used.
inline void AnnounceHealthy(loop::event_loop& loop, upstream_dispatcher& dispatcher,
                            const membership::upstream_announcement& announcement) {
  dispatcher.SetHealthPathSource([](const kernel::service_name&) { return "/health"; });
  EXPECT_EQ(dispatcher.Announce(announcement), announcement_result::kAccepted);
  http::RunUntil(loop, [&] { return dispatcher.upstream() == announcement.id; });
}

// The same for an upstream that otherwise does not answer probes.
inline void AnnounceHealthy(loop::event_loop& loop, upstream_dispatcher& dispatcher,
                            http::raw_server& upstream,
                            const membership::upstream_announcement& announcement) {
  auto on_bytes = std::move(upstream.on_bytes);
  upstream.AnswerAndClose(HealthResponse(announcement.id.value()));
  AnnounceHealthy(loop, dispatcher, announcement);
  upstream.on_bytes = std::move(on_bytes);
}

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_TESTS_HEALTHY_UPSTREAM_H_
