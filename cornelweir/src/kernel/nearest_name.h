#ifndef CORNELWEIR_SRC_KERNEL_NEAREST_NAME_H_
#define CORNELWEIR_SRC_KERNEL_NEAREST_NAME_H_

#include <string_view>
#include <vector>

namespace cornelweir::kernel {

// The known name with the smallest edit distance to a misspelt one. Empty if none is close: more
// than half of the letters would have to change.
std::string_view NearestName(std::string_view misspelt, const std::vector<std::string_view>& known);

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_NEAREST_NAME_H_
