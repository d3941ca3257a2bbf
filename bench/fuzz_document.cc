/** \file
 * libFuzzer target: configuration documents and job specifications.
 */
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "kernel/config/document_merge.h"
#include "kernel/config/document_rules.h"
#include "kernel/encoding/document_json.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto checked = eelgrass::CheckDocument(text);
  if (checked.valid()) {
    const std::string written = eelgrass::DocumentText(checked.doc);
    if (!eelgrass::ParseDocument(written)) __builtin_trap();
    if (!eelgrass::Differences(written, written).empty()) __builtin_trap();
  }
  (void)eelgrass::ParseJobSpec(text);
  return 0;
}
