#include "programs/cornelweir_replay/trace.h"

#include <algorithm>
#include <array>

namespace cornelweir::programs::replay {
namespace {

using codec::json;

constexpr std::array<std::string_view, 6> kOutcomeKinds{"command", "enforced", "ready",
                                                        "leader",  "member",   "request"};

// Reads one stated outcome. Returns what is wrong, or an empty text.
std::string ReadOutcome(const json& from, expected_outcome& to) {
  if (!from.is_object()) return "not an object";
  for (const auto& [name, value] : from.items()) {
    if (name == "at_ms" && value.is_number_integer()) {
      to.at_ms = value.get<std::int64_t>();
    } else if (name == "kind" && value.is_string()) {
      to.kind = value.get<std::string>();
    } else if (name == "subject" && value.is_string()) {
      to.subject = value.get<std::string>();
    } else if (name == "object" && value.is_string()) {
      to.object = value.get<std::string>();
    } else if (name == "value") {
      to.value = value;
    } else {
      return "member '" + name + "' is unknown or of the wrong type";
    }
  }
  const bool known =
      std::find(kOutcomeKinds.begin(), kOutcomeKinds.end(), to.kind) != kOutcomeKinds.end();
  return known ? std::string() : "kind '" + to.kind + "' is unknown";
}

}  // namespace

std::variant<trace, std::string> ParseTrace(std::string_view text) {
  const json document = json::parse(text, nullptr, /*allow_exceptions=*/false,
                                    /*ignore_comments=*/true);
  if (document.is_discarded()) return "not JSON";
  trace parsed;
  const std::string fault = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(codec::FromJson(document, parsed, "trace"));
        return std::string();
      },
      [](const codec::codec_error& error) { return error.place + ": not of the expected form"; },
      [] { return std::string("trace: not of the expected form"); });
  if (!fault.empty()) return fault;
  const auto outcomes = document.find("outcomes");
  if (outcomes == document.end() || !outcomes->is_array() || outcomes->empty()) {
    return "trace.outcomes: a trace states at least one outcome";
  }
  for (const json& stated : *outcomes) {
    expected_outcome outcome;
    const std::string wrong = ReadOutcome(stated, outcome);
    if (!wrong.empty()) {
      return "trace.outcomes[" + std::to_string(parsed.outcomes.size()) + "]: " + wrong;
    }
    parsed.outcomes.push_back(std::move(outcome));
  }
  return parsed;
}

}  // namespace cornelweir::programs::replay
