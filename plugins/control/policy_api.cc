#include "plugins/control/policy_api.h"

#include <map>
#include <utility>

#include "cornelweir/codec.h"
#include "cornelweir/logging.h"
#include "cornelweir/src/codec/sha256.h"
#include "plugins/control/control_plugin.h"
#include "plugins/control/operator_response.h"

namespace cornelweir::plugins::control {
namespace internal {

constexpr std::string_view kNotCurrent = "this host can't prove that its state is current";
constexpr std::string_view kNoRoom = "too many responses with earlier policies are being sent";

// Operators compare policies; they don't need the keys, and the interface has no authentication.
codec::json WithoutKeys(policy::policy_table table) {
  policy::ReplaceKeys(table, codec::Sha256Hex);
  return codec::ToJson(table);
}

void AddUpstream(const membership::announced_upstream& upstream, policy::service_state& state) {
  ++state.upstreams;
  state.slots += upstream.slots;
  if (state.upstreams == 1) {
    state.rate_limit = upstream.rate_limit;
  } else if (state.rate_limit && upstream.rate_limit) {
    state.rate_limit =
        kernel::request_rate(state.rate_limit->value() + upstream.rate_limit->value());
  } else {
    state.rate_limit.reset();
  }
  if (state.rollout && state.rollout->version == upstream.version) ++state.rollout->upstreams;
}

}  // namespace internal

void policy_api::Register(http::admin_server& server) {
  server.Handle(http::method::get, "/v1/policy",
                [this](const http::admin_request&, http::admin_reply send_reply) {
                  GetPolicy(std::move(send_reply));
                });
  server.Handle(http::method::get, "/v1/services",
                [this](const http::admin_request&, http::admin_reply send_reply) {
                  GetServices(std::move(send_reply));
                });
}

void policy_api::GetPolicy(http::admin_reply send_reply) {
  const auto shared_reply = std::make_shared<http::admin_reply>(std::move(send_reply));
  owner_.local_replica().Read([this, shared_reply](bool is_current) {
    const auto& table = owner_.local_replica().machine().policy().current();
    logging::event(logging::event_id::kPolicyRead)
        .With("current", is_current)
        .With("version", table->version);
    if (!is_current) return (*shared_reply)(internal::Unavailable(internal::kNotCurrent));
    if (table != encoded_table_) {
      encoded_table_ = nullptr;
      encoded_ = nullptr;
      encoded_ = http::HoldText(owner_.memory(),
                                internal::Response(200, internal::WithoutKeys(*table)).body);
      // Responses with earlier policies that are still being sent take all the room.
      if (!encoded_) return (*shared_reply)(internal::Unavailable(internal::kNoRoom));
      encoded_table_ = table;
    }
    http::admin_response response;
    response.shared_body = encoded_;
    (*shared_reply)(std::move(response));
  });
}

void policy_api::GetServices(http::admin_reply send_reply) {
  const auto shared_reply = std::make_shared<http::admin_reply>(std::move(send_reply));
  owner_.local_replica().Read([this, shared_reply](bool is_current) {
    if (!is_current) return (*shared_reply)(internal::Unavailable(internal::kNotCurrent));
    (*shared_reply)(internal::Response(200, {{"services", codec::ToJson(ServiceStates())}}));
  });
}

std::vector<policy::service_state> policy_api::ServiceStates() const {
  std::map<kernel::service_name, policy::service_state> states;
  for (const auto& [service, record] : owner_.local_replica().machine().rollouts().records()) {
    if (rollout::IsRunning(record)) states[service].rollout = {record.target, 0};
  }
  for (const membership::roster_entry* entry : owner_.roster().Entries()) {
    if (entry->leaving || !entry->upstream || entry->upstream->draining) continue;
    internal::AddUpstream(*entry->upstream, states[entry->service]);
  }
  std::vector<policy::service_state> list;
  for (auto& [service, state] : states) {
    state.service = service;
    list.push_back(std::move(state));
  }
  return list;
}

}  // namespace cornelweir::plugins::control
