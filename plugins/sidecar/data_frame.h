#ifndef CORNELWEIR_PLUGINS_SIDECAR_DATA_FRAME_H_
#define CORNELWEIR_PLUGINS_SIDECAR_DATA_FRAME_H_

#include <boost/leaf.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "cornelweir/codec.h"
#include "cornelweir/protocol.h"
#include "cornelweir/transport.h"

namespace cornelweir::plugins::sidecar {

// Sends a message to another daemon, followed by an unencoded payload. Returns the result of
// link::Send().
inline bool SendData(transport::link& link, const protocol::data_message& message,
                     std::string_view payload = {}) {
  return link.Send(codec::Frame(codec::Encode(message), payload));
}

// A decoded message and its payload, which refers to the buffer that was read.
struct data_frame {
  protocol::data_message message;
  std::string_view payload;
};

// Decodes a frame. The payload refers to bytes. Errors carry a codec_error.
inline boost::leaf::result<data_frame> ReadData(std::string_view bytes) {
  BOOST_LEAF_AUTO(frame, codec::Unframe(bytes));
  BOOST_LEAF_AUTO(message, codec::Decode<protocol::data_message>(frame.header));
  return data_frame{std::move(message), frame.payload};
}

// Sends a message and its body, split into pieces of at most protocol::kBodyPieceBytes. Returns
// false as soon as a piece cannot be sent.
template <class Message>
bool SendWithBody(transport::link& link, Message message, std::string_view body) {
  const kernel::call_id id = message.id;
  std::string_view piece = body.substr(0, protocol::kBodyPieceBytes);
  body.remove_prefix(piece.size());
  message.last = body.empty();
  if (!SendData(link, std::move(message), piece)) return false;
  while (!body.empty()) {
    piece = body.substr(0, protocol::kBodyPieceBytes);
    body.remove_prefix(piece.size());
    if (!SendData(link, protocol::body_piece{id, body.empty()}, piece)) return false;
  }
  return true;
}

}  // namespace cornelweir::plugins::sidecar

#endif  // CORNELWEIR_PLUGINS_SIDECAR_DATA_FRAME_H_
