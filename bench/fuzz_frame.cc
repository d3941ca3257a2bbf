/** \file
 * libFuzzer target: frames from peers, and rows from the table service.
 */
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "kernel/encoding/burn_json.h"
#include "kernel/encoding/record_json.h"
#include "kernel/io/peer_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  static const auto kCodec = eelgrass::codec_registry::Instance().Create("cbor").value();
  const std::string_view input(reinterpret_cast<const char*>(data), size);
  const auto message = kCodec->Decode(input);
  if (message && !kCodec->Decode(kCodec->Encode(message.value()))) __builtin_trap();
  for (const char* key : {"jobs/1", "config/current", "changes/1", "entries/1", "planner"}) {
    (void)eelgrass::ParseRecord(key, input);
  }
  (void)eelgrass::ParseBurnTable(input);
  return 0;
}
