#include "plugins/control/log_payload.h"

#include <string_view>
#include <tuple>
#include <utility>

#include "cornelweir/codec.h"
#include "cornelweir/src/codec/direct_cbor.h"

namespace cornelweir::plugins::control {
namespace internal {

// The first byte of the payload of a packed entry. A record begins with the head of a CBOR map,
// which has another value.
constexpr char kPackedTag = '\0';

// The rest of that payload.
struct packed_entry {
  std::int64_t proposed_at_ms = 0;
  protocol::message_part part;

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"at", &packed_entry::proposed_at_ms},
                      kernel::field{"part", &packed_entry::part}};
  }
};

boost::leaf::result<state::log_record> Unpack(std::string_view packed) {
  BOOST_LEAF_AUTO(bytes, codec::Inflate(packed, codec::kMaxStateBytes));
  return codec::DecodeDirectly<state::log_record>(bytes, codec::kMaxStateBytes);
}

}  // namespace internal

std::optional<std::string> PackCommand(const state::command& body) {
  std::string packed = codec::Deflate(codec::EncodeDirectly(state::log_record{0, body}));
  if (packed.size() > protocol::kMaxPartedBytes) return std::nullopt;
  return packed;
}

std::vector<kernel::byte_string> EncodeLogRecord(const state::log_record& record) {
  std::string encoded = codec::EncodeDirectly(record);
  if (encoded.size() <= replication::kMaxPayloadBytes) {
    return {kernel::byte_string{std::move(encoded)}};
  }
  const std::string packed = codec::Deflate(encoded);
  if (packed.size() > protocol::kMaxPartedBytes) return {};
  return EncodePackedCommand(record.proposed_at_ms, packed);
}

std::vector<kernel::byte_string> EncodePackedCommand(std::int64_t proposed_at_ms,
                                                     const std::string& packed) {
  std::vector<kernel::byte_string> payloads;
  for (protocol::message_part& part : protocol::SplitIntoParts(packed)) {
    const internal::packed_entry entry{proposed_at_ms, std::move(part)};
    payloads.push_back({internal::kPackedTag + codec::Encode(entry)});
  }
  return payloads;
}

log_record_reader::result log_record_reader::Read(const replication::log_entry& entry) {
  const std::string_view payload = entry.payload.bytes;
  const bool follows = entry.index == next_index_ && entry.term == term_;
  next_index_ = Next(entry.index);
  term_ = entry.term;
  const bool packed = entry.kind == replication::entry_kind::kCommand && !payload.empty() &&
                      payload.front() == internal::kPackedTag;
  if (!follows || !packed) Clear();
  if (!packed) {
    const auto record = codec::DecodeDirectly<state::log_record>(payload, codec::kMaxMessageBytes);
    if (!record) return malformed{};
    return record.value();
  }
  const auto decoded = codec::Decode<internal::packed_entry>(payload.substr(1));
  if (!decoded) return malformed{};
  const protocol::message_part& part = decoded.value().part;
  const auto whole = parts_.Add(part);
  if (!whole) {
    if (HasIncomplete()) return incomplete{};
    return malformed{};
  }
  const auto record = internal::Unpack(*whole);
  if (!record) return malformed{};
  state::log_record unpacked = record.value();
  unpacked.proposed_at_ms = decoded.value().proposed_at_ms;
  return unpacked;
}

}  // namespace cornelweir::plugins::control
