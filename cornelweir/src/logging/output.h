#ifndef CORNELWEIR_SRC_LOGGING_OUTPUT_H_
#define CORNELWEIR_SRC_LOGGING_OUTPUT_H_

namespace cornelweir::logging {

// Sends log lines to standard output, as name=value pairs, through a bounded buffer that
// FlushOutput() empties. Standard output is switched to non-blocking mode.
void StartOutput();

// Writes what standard output takes now. The program calls it every now and then, and at its end.
void FlushOutput();

}  // namespace cornelweir::logging

#endif  // CORNELWEIR_SRC_LOGGING_OUTPUT_H_
