#include <doctest/doctest.h>

#include <limits>

#include "kernel/batch/batch_records.h"
#include "kernel/batch/departure_watch.h"
#include "kernel/batch/operator_source.h"
#include "kernel/io/job_front.h"
#include "kernel/io/peer_codec.h"
#include "kernel/io/row_store.h"
#include "kernel/io/vm_directory.h"
#include "kernel/io/worker_control.h"
#include "tests/world/odd_texts.h"
#include "tests/world/platform_fakes.h"

namespace eelgrass {
namespace {

TEST_CASE("odd frames of peers are refused, and the hub lives on") {
  const auto codec = std::move(codec_registry::Instance().Create("cbor").value());
  const std::string head = "\x82\x02";  // a message of type 2, its fields to follow
  SUBCASE("deeply nested") {
    CHECK_FALSE(codec->Decode(std::string(kAbyss, '\x81')));
    CHECK_FALSE(codec->Decode(head + std::string(kAbyss, '\x81') + '\x01'));
    CHECK_FALSE(codec->Decode(head + std::string(kAbyss, '\x9f')));
    std::string maps;
    for (size_t i = 0; i < kAbyss; ++i) maps += std::string("\xa1\x61k", 3);
    CHECK_FALSE(codec->Decode(head + maps + '\x01'));
  }
  SUBCASE("with numbers that nothing here can hold") {
    const std::string field = head + "\xa1\x66wanted";
    CHECK(codec->Decode(field + '\x03'));
    CHECK_FALSE(codec->Decode(field + "\xfb\x7f\xf0" + std::string(6, '\0')));   // infinite
    CHECK_FALSE(codec->Decode(field + "\xfb\x7f\xf8" + std::string(6, '\0')));   // not a number
    CHECK_FALSE(codec->Decode(field + "\xfb\x7e\x37\xe4\x3c\x88\x00\x75\x9c"));  // 1e300
  }
  SUBCASE("with a length that is longer than any frame") {
    CHECK_FALSE(codec->Decode("\x9b" + std::string(8, '\xff')));
    CHECK_FALSE(codec->Decode("\x7b" + std::string(8, '\xff')));
    CHECK_FALSE(codec->Decode("\xbb" + std::string(8, '\xff')));
  }
}

TEST_CASE("odd records in rows of the store") {
  SUBCASE("their contents are refused one by one") {
    const auto codec = std::move(record_codec_registry::Instance().Create("json").value());
    for (const std::string& text :
         {Nested(), R"({"id":"i-1","new":)" + Nested() + "}", std::string("{\"id\":\"\xff\"}"),
          std::string(R"({"fence":1e300})"), std::string(R"({"fence":18446744073709551615})"),
          std::string(R"({"fence":1e999})"), std::string("7")}) {
      CAPTURE(text.substr(0, 80));
      CHECK_FALSE(codec->DecodeTerm(text));
      CHECK_FALSE(codec->DecodeWorker(text));
    }
    CHECK_NOTHROW((void)codec->Encode(worker_record{"i-\xff", "a", "10.0.0.1:80"}));
  }
}

}  // namespace
}  // namespace eelgrass
