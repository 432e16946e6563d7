#include "cornelweir/src/codec/json_depth.h"

#include <cstddef>

#include "cornelweir/src/codec/limits.h"

namespace cornelweir::codec {

bool IsNestedTooDeeply(std::string_view text) {
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') {
      in_string = !in_string;
    } else if (in_string) {
      if (c == '\\') ++i;
    } else if (c == '[' || c == '{') {
      if (++depth > kMaxNesting) return true;
    } else if ((c == ']' || c == '}') && depth > 0) {
      --depth;
    }
  }
  return false;
}

}  // namespace cornelweir::codec
