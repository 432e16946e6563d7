#include <algorithm>

#include "programs/cornelweir_replay/replayer.h"

namespace cornelweir::programs::replay {
namespace {

using codec::json;

// Failures of one trace that are reported.
constexpr std::size_t kMaxFailures = 10;

// Whether every member of expected is in observed with an equal value.
bool Matches(const json& expected, const json& observed) {
  if (!expected.is_object()) return expected == observed;
  if (!observed.is_object()) return false;
  return std::all_of(expected.items().begin(), expected.items().end(), [&](const auto& member) {
    return observed.contains(member.key()) && Matches(member.value(), observed[member.key()]);
  });
}

}  // namespace

void replayer::Fail(const std::string& text) {
  const auto at_ms =
      std::chrono::duration_cast<kernel::milliseconds>(Now().time_since_epoch()).count();
  if (failures_.size() < kMaxFailures) {
    failures_.push_back("at " + std::to_string(at_ms) + " ms: " + text);
  }
}

void replayer::CheckInvariants(const process_name& name, daemon& at) {
  const distribution::subscriber& held = at.relay->own_subscriber();
  const auto accepted = accepted_.find(held.version());
  if (accepted == accepted_.end()) {
    Fail(name.value() + " holds version " + std::to_string(held.version().value()) +
         ", which was never accepted");
  } else if (held.rows() != table::ScopeOf(accepted->second, at.service)) {
    Fail(name.value() + " does not hold exactly its part of version " +
         std::to_string(held.version().value()));
  }
  if (!table::IsClosed(held.rows())) Fail(name.value() + " holds a dangling reference");
  if (!held.ready()) return;
  if (held.version() < at.highest) {
    Fail(name.value() + " moved back from version " + std::to_string(at.highest.value()) + " to " +
         std::to_string(held.version().value()));
  }
  at.highest = std::max(at.highest, held.version());
}

json replayer::Observe(const expected_outcome& expected) {
  if (expected.kind == "command") {
    const auto found = outcomes_.find(expected.subject);
    return found == outcomes_.end() ? json(nullptr) : found->second;
  }
  const process_name subject(expected.subject);
  if (expected.kind == "leader") {
    const auto host = controls_.find(subject);
    return host != controls_.end() && host->second.node && host->second.node->IsLeader();
  }
  const auto found = daemons_.find(subject);
  if (found == daemons_.end()) return nullptr;
  const daemon& at = found->second;
  if (expected.kind == "request") {
    const auto request = at.requests.find(std::stoull(expected.object));
    return request == at.requests.end() ? json(nullptr) : json(request->second);
  }
  if (!at.relay) return nullptr;
  const distribution::subscriber& held = at.relay->own_subscriber();
  if (expected.kind == "enforced") return held.version().value();
  if (expected.kind == "ready") return held.ready();
  const auto member = held.members().find(kernel::upstream_id(expected.object));
  return member == held.members().end() ? json(nullptr) : codec::ToJson(member->second);
}

void replayer::Check(const expected_outcome& expected) {
  const json observed = Observe(expected);
  if (Matches(expected.value, observed)) return;
  Fail(expected.kind + " of " + expected.subject +
       (expected.object.empty() ? "" : "/" + expected.object) + " is " + observed.dump() +
       ", stated was " + expected.value.dump());
}

}  // namespace cornelweir::programs::replay
