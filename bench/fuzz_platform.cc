/** \file
 * libFuzzer target: what other writers leave on the platform. The first byte chooses the reader.
 */
#include <cstddef>
#include <cstdint>
#include <string>

#include "kernel/batch/batch_records.h"
#include "tests/world/platform_fakes.h"

namespace {

using namespace eelgrass;  // NOLINT(google-build-using-namespace)

/** The readers, each with what it needs. */
struct platform_readers {
  fake_server server;
  fake_workers workers;
  fake_client client;
  std::unique_ptr<beat_front> beats = PlatformBeats(server);
  std::unique_ptr<vm_directory> vms = PlatformVms(client);
  std::unique_ptr<worker_control> control = PlatformControl(client);
  std::unique_ptr<row_store> store = PlatformStore(client);
  std::unique_ptr<operator_source> operators = PlatformOperators();
  std::unique_ptr<batch_record_codec> records =
      std::move(record_codec_registry::Instance().Create("json").value());

  platform_readers() { (void)beats->Start(workers); }

  void Beat(const std::string& body) {
    server.answers.clear();
    workers.beats.clear();
    server.Ask("PUT", "/instances/i-1", body);
    for (const auto& beat : workers.beats) {
      const worker_profile& worker = beat.worker;
      (void)records->Encode({worker.self.id, "a", worker.address, worker.self.born_ms, worker.vm});
    }
  }
  void List() {
    vms->List({millis(7)}, [](const vm_listing&) {});
  }
  void Hold() {
    hold_call call;
    call.worker = {"i-1", 17};
    call.address = "10.0.0.1:80";
    control->Hold(call, millis(100), [](const hold_answer&) {});
  }
  void Rows() {
    store->Read({"jobs", "", ""}, millis(100), [this](const rows_result& rows) {
      for (const auto& found : rows.rows) Record(found.value);
    });
  }
  void Record(const std::string& text) {
    (void)records->DecodeJob(text);
    (void)records->DecodeProgress(text);
    (void)records->DecodeTerm(text);
    const auto worker = records->DecodeWorker(text);
    if (worker && !records->DecodeWorker(records->Encode(worker.value()))) __builtin_trap();
  }
  void Operators(const std::string& text) {
    operator_state state;
    for (const char* key : {"config", "wave/1"}) {
      (void)operators->Apply({{"op", "", key}, text, 5, false}, millis(5), state);
    }
  }
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  static platform_readers readers;
  if (size == 0) return 0;
  const std::string body(reinterpret_cast<const char*>(data) + 1, size - 1);
  readers.client.calls.clear();
  readers.client.answer = http_response{200, {}, {body}, false};
  switch (data[0]) {
    case 'b':
      readers.Beat(body);
      break;
    case 'm':
      readers.List();
      break;
    case 'h':
      readers.Hold();
      break;
    case 'r':
      readers.Rows();
      break;
    case 'o':
      readers.Operators(body);
      break;
    default:
      readers.Record(body);
      break;
  }
  return 0;
}
