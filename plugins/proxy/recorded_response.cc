#include "plugins/proxy/recorded_response.h"

#include "cornelweir/outcome.h"
#include "plugins/proxy/request_headers.h"

namespace cornelweir::plugins::proxy {

std::optional<http::local_response> ReplayOf(const claims::stored_response& recorded) {
  const auto status = http::status_code::Parse(recorded.status.value());
  if (!status || status->is_interim()) return std::nullopt;
  http::local_response replay;
  replay.status = *status;
  replay.body = recorded.body.bytes;
  SetHeader(replay.headers, "content-type", recorded.content_type);
  SetHeader(replay.headers, kOutcomeHeader, outcome::OutcomeName(outcome::request_outcome::kRan));
  SetHeader(replay.headers, kReplayedHeader, recorded.body_omitted ? "body-omitted" : "true");
  return replay;
}

}  // namespace cornelweir::plugins::proxy
