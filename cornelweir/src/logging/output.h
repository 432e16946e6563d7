#ifndef CORNELWEIR_SRC_LOGGING_OUTPUT_H_
#define CORNELWEIR_SRC_LOGGING_OUTPUT_H_

namespace cornelweir::logging {

// Sends log lines to standard output, as name=value pairs, through a bounded buffer that
// FlushOutput() empties. Standard output is switched to non-blocking mode.
void StartOutput();

// Writes as much as standard output accepts now. To be called periodically and before the exit.
void FlushOutput();

}  // namespace cornelweir::logging

#endif  // CORNELWEIR_SRC_LOGGING_OUTPUT_H_
