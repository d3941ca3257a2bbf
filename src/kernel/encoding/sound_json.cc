#include "kernel/encoding/sound_json.h"

#include <utility>

namespace eelgrass {
namespace {

using json = nlohmann::json;

/** Looks at each part as it is read; stops reading at the first that is not sound. */
class soundness final : public nlohmann::json_sax<json> {
 public:
  explicit soundness(bool numbers) : numbers_(numbers) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t value) override {
    return !numbers_ || value <= static_cast<number_unsigned_t>(INT64_MAX);
  }
  bool number_float(number_float_t value, const string_t&) override {
    return !numbers_ || IsSound(value);
  }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(size_t) override { return ++level_ <= kMostLevels; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(size_t) override { return ++level_ <= kMostLevels; }
  bool end_array() override { return Leave(); }
  bool parse_error(size_t, const std::string&, const json::exception&) override { return false; }

 private:
  bool Leave() {
    --level_;
    return true;
  }

  const bool numbers_;
  int level_ = 0;
};

std::optional<json> Read(std::string_view text, bool numbers) {
  soundness check(numbers);
  if (!json::sax_parse(text.begin(), text.end(), &check)) return std::nullopt;
  return std::optional<json>(json::parse(text.begin(), text.end(), nullptr, false));
}

/** Whether an entry stands between two commas, and cannot be read. */
bool IsUnreadable(std::string_view entry) {
  const bool empty = entry.find_first_not_of(" \t\r\n") == std::string_view::npos;
  return !empty && !ReadJson(entry);
}

}  // namespace

std::optional<json> ReadJson(std::string_view text) { return Read(text, false); }

std::optional<json> ReadSoundJson(std::string_view text) { return Read(text, true); }

std::optional<json> ReadSoundCbor(std::string_view frame) {
  soundness check(true);
  if (!json::sax_parse(frame.begin(), frame.end(), &check, json::input_format_t::cbor)) {
    return std::nullopt;
  }
  return std::optional<json>(json::from_cbor(frame.begin(), frame.end(), true, false));
}

std::string WithoutUnreadable(std::string_view text) {
  constexpr int kEntries = 2;  // the level of entries of a list in an object
  std::string kept;
  size_t copied = 0;  // of the text
  size_t entry = 0;   // start of the entry
  int level = 0;
  bool quoted = false;
  bool in_list = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted) {
      if (c == '\\') ++i;
      if (c == '"') quoted = false;
      continue;
    }
    if (c == '"') quoted = true;
    const bool closes = c == ']' || c == '}';
    if (level == kEntries && in_list && (c == ',' || closes)) {
      if (IsUnreadable(text.substr(entry, i - entry))) {
        kept.append(text.substr(copied, entry - copied)).append("null");
        copied = i;
      }
      entry = i + 1;
    }
    if (closes) --level;
    if (c == '[' || c == '{') {
      ++level;
      if (level == kEntries) {
        in_list = c == '[';
        entry = i + 1;
      }
    }
  }
  if (quoted || level != 0) return std::string(text);
  return kept.append(text.substr(copied));
}

}  // namespace eelgrass
