#ifndef CORNELWEIR_PROGRAMS_VERSION_H_
#define CORNELWEIR_PROGRAMS_VERSION_H_

namespace cornelweir::programs {

inline constexpr char kVersion[] = "0.1.0";

}  // namespace cornelweir::programs

#endif  // CORNELWEIR_PROGRAMS_VERSION_H_
