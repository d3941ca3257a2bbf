/** \file
 * JSON and CBOR that others wrote, before anything walks through it. Not for use by deciding code.
 */
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace eelgrass {

/**
 * Levels of lists and objects. Nothing that the system reads has more than ten; beyond that,
 * reading CBOR, copying and writing take a call a level, and another writer decides how many.
 */
constexpr int kMostLevels = 64;

/** Whole numbers up to here keep their value as a JSON number (RFC 7493). */
constexpr int64_t kLargestWhole = int64_t{1} << 53;

/** Whether a number can be read as a whole one without leaving its type. */
inline bool IsSound(double number) {
  return number >= -static_cast<double>(kLargestWhole) &&
         number <= static_cast<double>(kLargestWhole);
}

/** What a text holds; nothing if it cannot be read or has too many levels. Never throws. */
std::optional<nlohmann::json> ReadJson(std::string_view text);

/** The same for numbers that reach typed fields unchecked: all of them have to be sound. */
std::optional<nlohmann::json> ReadSoundJson(std::string_view text);

/** The same for a CBOR frame. */
std::optional<nlohmann::json> ReadSoundCbor(std::string_view frame);

/**
 * The text of an object, with null for the entries of its lists that cannot be read; the other
 * entries hold. The text as it is if lists and texts in it do not end.
 */
std::string WithoutUnreadable(std::string_view text);

/** Writes what may hold bytes that are not UTF-8; those are replaced. Never throws for them. */
inline std::string WriteJson(const nlohmann::json& value) {
  const int on_one_line = -1;
  return value.dump(on_one_line, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace eelgrass
