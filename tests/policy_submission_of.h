#ifndef CORNELWEIR_TESTS_POLICY_SUBMISSION_OF_H_
#define CORNELWEIR_TESTS_POLICY_SUBMISSION_OF_H_

#include <string>

#include "cornelweir/src/codec/direct_cbor.h"
#include "plugins/policy_port.h"

namespace cornelweir::plugins {

// A submission whose text says what the table says.
inline policy_submission SubmissionOf(const policy::policy_table& table) {
  const std::string text = codec::EncodeDirectly(table);
  return {table, text, text};
}

}  // namespace cornelweir::plugins

#endif  // CORNELWEIR_TESTS_POLICY_SUBMISSION_OF_H_
