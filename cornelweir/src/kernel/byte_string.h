#ifndef CORNELWEIR_SRC_KERNEL_BYTE_STRING_H_
#define CORNELWEIR_SRC_KERNEL_BYTE_STRING_H_

#include <string>

namespace cornelweir::kernel {

// Arbitrary bytes, not necessarily text: payloads of the replicated log and response bodies.
struct byte_string {
  std::string bytes;

  friend bool operator==(const byte_string&, const byte_string&) = default;
};

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_BYTE_STRING_H_
