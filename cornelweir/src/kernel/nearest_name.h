#ifndef CORNELWEIR_SRC_KERNEL_NEAREST_NAME_H_
#define CORNELWEIR_SRC_KERNEL_NEAREST_NAME_H_

#include <string_view>
#include <vector>

namespace cornelweir::kernel {

// Returns the known name with the smallest edit distance to the unknown one. Returns an empty
// string if none is close, that is, if more than half of the letters would have to change.
std::string_view NearestName(std::string_view unknown,
                             const std::vector<std::string_view>& known_names);

}  // namespace cornelweir::kernel

#endif  // CORNELWEIR_SRC_KERNEL_NEAREST_NAME_H_
