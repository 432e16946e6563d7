#include "plugins/control/operator_api.h"

#include <charconv>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "cornelweir/src/codec/json_depth.h"
#include "plugins/control/control_plugin.h"
#include "plugins/control/operator_response.h"

namespace cornelweir::plugins::control {
namespace internal {

using codec::json;

constexpr std::string_view kVersionsPath = "/v1/versions/";

json RowsToJson(const table::row_map& rows) {
  json list = json::array();
  for (const auto& [key, content] : rows) {
    list.push_back(json{{"key", codec::ToJson(key)}, {"content", codec::ToJson(content)}});
  }
  return list;
}

int HttpStatus(const cornelweir::control::outcome& outcome) {
  if (std::holds_alternative<cornelweir::control::conflict_outcome>(outcome)) return 409;
  if (std::holds_alternative<cornelweir::control::invalid_outcome>(outcome)) return 422;
  if (std::holds_alternative<cornelweir::control::refused_outcome>(outcome)) return 422;
  return 200;
}

http::admin_response OutcomeResponse(const std::optional<cornelweir::control::outcome>& outcome) {
  if (!outcome) return Unavailable("no leader confirmed the change; send it again with its id");
  json body = codec::ToJson(*outcome);
  // Only one operators' command has an outcome without content: the release from quarantine.
  const bool released = std::holds_alternative<cornelweir::control::done_outcome>(*outcome);
  body["result"] = released ? json("released") : body["type"];
  body.erase("type");
  return Response(HttpStatus(*outcome), body);
}

// Returns the path of the first member of the input that decoding ignored, or an empty string. So
// operators' misspelled members are rejected instead of ignored.
std::string UnknownMember(const json& input, const json& decoded, const std::string& path) {
  if (input.is_object() && decoded.is_object()) {
    for (const auto& [name, value] : input.items()) {
      std::string member_path = path;
      member_path.append(".").append(name);
      if (!decoded.contains(name)) return member_path;
      if (auto unknown = UnknownMember(value, decoded[name], member_path); !unknown.empty()) {
        return unknown;
      }
    }
  }
  if (input.is_array() && decoded.is_array() && input.size() == decoded.size()) {
    for (std::size_t index = 0; index < input.size(); ++index) {
      std::string member_path = path;
      member_path.append("[").append(std::to_string(index)).append("]");
      auto unknown = UnknownMember(input[index], decoded[index], member_path);
      if (!unknown.empty()) return unknown;
    }
  }
  return {};
}

// Decodes a command. Returns an error that starts with the path of the faulty member, or an empty
// string.
template <class Command>
std::string DecodeCommand(const std::string& body, Command& command) {
  if (codec::IsNestedTooDeeply(body)) return "body: nested too deeply";
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
void operator_api::PostCommand(const request& received, reply send_reply) {
  Command command;
  if (const std::string decode_error = internal::DecodeCommand(received.body, command);
      !decode_error.empty()) {
    send_reply(internal::Malformed(decode_error));
    return;
  }
  if (!owner_.CanStore()) {
    send_reply(internal::Unavailable(internal::kNotStored));
    return;
  }
  auto shared_reply = std::make_shared<reply>(std::move(send_reply));
  owner_.Submit(std::move(command), [shared_reply](const auto& outcome) {
    (*shared_reply)(internal::OutcomeResponse(outcome));
  });
}

void operator_api::ReplyIfCurrent(reply send_reply, std::function<json()> make_body) {
  auto shared_reply = std::make_shared<reply>(std::move(send_reply));
  owner_.local_replica().Read([shared_reply, make_body = std::move(make_body)](bool is_current) {
    (*shared_reply)(is_current
                        ? internal::Response(200, make_body())
                        : internal::Unavailable("this host can't prove that its state is current"));
  });
}

void operator_api::Register(http::admin_server& server) {
  using http::method;
  const auto handle = [&](method verb, std::string_view path,
                          void (operator_api::*function)(const request&, reply)) {
    server.Handle(verb, path, [this, function](const request& received, reply send_reply) {
      (this->*function)(received, std::move(send_reply));
    });
  };
  handle(method::get, "/v1/table", &operator_api::GetTable);
  handle(method::get, "/v1/draft", &operator_api::GetDraft);
  handle(method::get, "/v1/history", &operator_api::GetHistory);
  handle(method::get, internal::kVersionsPath, &operator_api::GetVersion);
  handle(method::get, "/v1/status", &operator_api::GetStatus);
  policy_.Register(server);
  namespace state = cornelweir::control;
  handle(method::post, "/v1/edits", &operator_api::PostCommand<state::edit_command>);
  handle(method::post, "/v1/accept", &operator_api::PostCommand<state::accept_command>);
  handle(method::post, "/v1/restore", &operator_api::PostCommand<state::restore_command>);
  handle(method::post, "/v1/quarantine/release",
         &operator_api::PostCommand<state::release_quarantine_command>);
}

void operator_api::GetTable(const request&, reply send_reply) {
  ReplyIfCurrent(std::move(send_reply), [this] {
    const auto& history = owner_.local_replica().machine().history();
    return json{{"version", history.newest().value()},
                {"rows", internal::RowsToJson(history.rows())}};
  });
}

void operator_api::GetDraft(const request&, reply send_reply) {
  ReplyIfCurrent(std::move(send_reply), [this] {
    const auto& machine = owner_.local_replica().machine();
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

void operator_api::GetHistory(const request&, reply send_reply) {
  ReplyIfCurrent(std::move(send_reply), [this] {
    json versions = json::array();
    for (const auto& accepted : owner_.local_replica().machine().history().versions()) {
      versions.push_back(json{{"version", accepted.version.value()},
                              {"author", accepted.author},
                              {"note", accepted.note},
                              {"accepted_at_ms", accepted.accepted_at_ms},
                              {"changed_rows", accepted.undo.size()}});
    }
    return json{{"versions", std::move(versions)}};
  });
}

void operator_api::GetVersion(const request& received, reply send_reply) {
  const std::string number = received.target.substr(internal::kVersionsPath.size());
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), value);
  const kernel::table_version version(value);
  const auto rows = owner_.local_replica().machine().history().RowsOf(version);
  if (error != std::errc() || end != number.data() + number.size() || !rows) {
    send_reply(internal::NotFound("the version is unknown or past the retention"));
    return;
  }
  // Accepted versions are immutable, so the state need not be proved current.
  send_reply(
      internal::Response(200, json{{"version", value}, {"rows", internal::RowsToJson(*rows)}}));
}

void operator_api::GetStatus(const request&, reply send_reply) {
  send_reply(internal::Response(200, owner_.StatusReport()));
}

}  // namespace cornelweir::plugins::control
