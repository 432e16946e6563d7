#include "plugins/control/operator_api.h"

#include <charconv>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "plugins/control/control_plugin.h"

namespace cornelweir::plugins::control {
namespace internal {

using codec::json;

constexpr std::string_view kVersionsPath = "/v1/versions/";

http::admin_response Response(int status, const json& body) {
  http::admin_response response;
  response.status = status;
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return response;
}

http::admin_response Unavailable(std::string_view reason) {
  return Response(503, json{{"result", "unavailable"}, {"reason", std::string(reason)}});
}

http::admin_response Malformed(std::string_view reason) {
  return Response(400, json{{"result", "malformed"}, {"reason", std::string(reason)}});
}

http::admin_response Absent(std::string_view reason) {
  return Response(404, json{{"result", "absent"}, {"reason", std::string(reason)}});
}

json RowList(const table::row_map& rows) {
  json list = json::array();
  for (const auto& [key, content] : rows) {
    list.push_back(json{{"key", codec::ToJson(key)}, {"content", codec::ToJson(content)}});
  }
  return list;
}

int StatusOf(const cornelweir::control::outcome& outcome) {
  if (std::holds_alternative<cornelweir::control::conflict_outcome>(outcome)) return 409;
  if (std::holds_alternative<cornelweir::control::invalid_outcome>(outcome)) return 422;
  if (std::holds_alternative<cornelweir::control::refused_outcome>(outcome)) return 422;
  return 200;
}

http::admin_response OutcomeResponse(const std::optional<cornelweir::control::outcome>& outcome) {
  if (!outcome) return Unavailable("no leader confirmed the change; send it again with its id");
  json body = codec::ToJson(*outcome);
  // The only command of operators whose outcome has no content.
  const bool released = std::holds_alternative<cornelweir::control::done_outcome>(*outcome);
  body["result"] = released ? json("released") : body["type"];
  body.erase("type");
  return Response(StatusOf(*outcome), body);
}

// The first member of input that decoding did not use, or an empty text. Operators' typing errors
// must not be dropped silently.
std::string UnknownMember(const json& input, const json& decoded, const std::string& place) {
  if (input.is_object() && decoded.is_object()) {
    for (const auto& [name, value] : input.items()) {
      std::string inner = place;
      inner.append(".").append(name);
      if (!decoded.contains(name)) return inner;
      if (auto unknown = UnknownMember(value, decoded[name], inner); !unknown.empty()) {
        return unknown;
      }
    }
  }
  if (input.is_array() && decoded.is_array() && input.size() == decoded.size()) {
    for (std::size_t index = 0; index < input.size(); ++index) {
      std::string inner = place;
      inner.append("[").append(std::to_string(index)).append("]");
      auto unknown = UnknownMember(input[index], decoded[index], inner);
      if (!unknown.empty()) return unknown;
    }
  }
  return {};
}

// Decodes a command. The error names the place that is wrong; it is empty if there is none.
template <class Command>
std::string DecodeCommand(const std::string& body, Command& command) {
  const json parsed = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (parsed.is_discarded()) return "body: not JSON";
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(codec::FromJson(parsed, command, "body"));
        const std::string unknown = UnknownMember(parsed, codec::ToJson(command), "body");
        return unknown.empty() ? unknown : unknown + ": unknown member";
      },
      [](const codec::codec_error& error) { return error.place + ": not of the expected form"; },
      [] { return std::string("body: not of the expected form"); });
}

}  // namespace internal

using internal::json;

template <class Command>
void operator_api::PostCommand(const request& from, reply answer) {
  Command command;
  if (const std::string fault = internal::DecodeCommand(from.body, command); !fault.empty()) {
    answer(internal::Malformed(fault));
    return;
  }
  auto shared = std::make_shared<reply>(std::move(answer));
  owner_.Submit(std::move(command),
                [shared](const auto& outcome) { (*shared)(internal::OutcomeResponse(outcome)); });
}

void operator_api::AnswerCurrent(reply answer, std::function<json()> read) {
  auto shared = std::make_shared<reply>(std::move(answer));
  owner_.local().Read([shared, read = std::move(read)](bool proved) {
    (*shared)(proved ? internal::Response(200, read())
                     : internal::Unavailable("this host can't prove that its state is current"));
  });
}

void operator_api::Register(http::admin_server& server) {
  using http::method;
  const auto handle = [&](method verb, std::string_view path,
                          void (operator_api::*function)(const request&, reply)) {
    server.Handle(verb, path, [this, function](const request& from, reply answer) {
      (this->*function)(from, std::move(answer));
    });
  };
  handle(method::get, "/v1/table", &operator_api::GetTable);
  handle(method::get, "/v1/draft", &operator_api::GetDraft);
  handle(method::get, "/v1/history", &operator_api::GetHistory);
  handle(method::get, internal::kVersionsPath, &operator_api::GetVersion);
  handle(method::get, "/v1/status", &operator_api::GetStatus);
  namespace state = cornelweir::control;
  handle(method::post, "/v1/edits", &operator_api::PostCommand<state::edit_command>);
  handle(method::post, "/v1/accept", &operator_api::PostCommand<state::accept_command>);
  handle(method::post, "/v1/restore", &operator_api::PostCommand<state::restore_command>);
  handle(method::post, "/v1/quarantine/release",
         &operator_api::PostCommand<state::release_quarantine_command>);
}

void operator_api::GetTable(const request&, reply answer) {
  AnswerCurrent(std::move(answer), [this] {
    const auto& history = owner_.local().machine().history();
    return json{{"version", history.newest().value()}, {"rows", internal::RowList(history.rows())}};
  });
}

void operator_api::GetDraft(const request&, reply answer) {
  AnswerCurrent(std::move(answer), [this] {
    const auto& machine = owner_.local().machine();
    json rows = json::array();
    for (const auto& [key, row] : machine.current_draft().rows()) {
      rows.push_back(json{{"key", codec::ToJson(key)},
                          {"row_version", row.row_version.value()},
                          {"content", codec::ToJson(row.content)}});
    }
    return json{{"base_version", machine.history().newest().value()},
                {"rows", std::move(rows)},
                {"faults", codec::ToJson(table::Validate(machine.current_draft().Contents()))}};
  });
}

void operator_api::GetHistory(const request&, reply answer) {
  AnswerCurrent(std::move(answer), [this] {
    json versions = json::array();
    for (const auto& accepted : owner_.local().machine().history().versions()) {
      versions.push_back(json{{"version", accepted.version.value()},
                              {"author", accepted.author},
                              {"note", accepted.note},
                              {"accepted_at_ms", accepted.accepted_at_ms},
                              {"changed_rows", accepted.undo.size()}});
    }
    return json{{"versions", std::move(versions)}};
  });
}

void operator_api::GetVersion(const request& from, reply answer) {
  const std::string number = from.target.substr(internal::kVersionsPath.size());
  std::uint64_t value = 0;
  const auto [rest, error] = std::from_chars(number.data(), number.data() + number.size(), value);
  const kernel::table_version version(value);
  const auto rows = owner_.local().machine().history().RowsOf(version);
  if (error != std::errc() || rest != number.data() + number.size() || !rows) {
    answer(internal::Absent("the version is unknown or past the retention"));
    return;
  }
  // A version never changes once it is accepted, so no proof of freshness is needed.
  answer(internal::Response(200, json{{"version", value}, {"rows", internal::RowList(*rows)}}));
}

void operator_api::GetStatus(const request&, reply answer) {
  answer(internal::Response(200, owner_.StatusReport()));
}

}  // namespace cornelweir::plugins::control
