/** \file
 * Errors, which say at which step and at which peer they arose, and results on Boost.Outcome.
 */
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace eelgrass {

/** What a caller can do about an error. */
enum class error_kind {
  kInvalid,      // The input is wrong; repeating it is pointless.
  kConflict,     // Somebody else changed the same thing first.
  kNotFound,     // There is no such thing, or it is not the caller's.
  kUnavailable,  // Known to have had no effect; may be tried again.
  kRefused,      // The same: the peer's machine refused the connection, since nobody listens.
  kUnknown,      // May or may not have had its effect.
  kExhausted,    // A bound was reached; known to have had no effect.
};

/** Name of the kind in logs and problem documents, such as "not-found". */
std::string_view ErrorKindName(error_kind kind);

/** An error with the step and the peer at which it arose. */
struct error {
  error_kind kind = error_kind::kInvalid;
  std::string step;    // Such as "read-config-row".
  std::string peer;    // Such as "127.0.0.1:9001"; empty for this process.
  std::string detail;  // One line for a person.
};

/** "step=... peer=... kind=... detail=..." on one line. */
std::string ToString(const error& err);

/** A value or an error. Reading the wrong one is a defect of the program, not a case to handle. */
template <typename T>
using result = boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::all_narrow>;

/** Makes a failed result out of its parts. */
inline auto Fail(error_kind kind, std::string_view step, std::string_view peer,
                 std::string_view detail) {
  return boost::outcome_v2::failure(
      error{kind, std::string(step), std::string(peer), std::string(detail)});
}

/** The result of a step that yields no value. */
inline auto Ok() { return boost::outcome_v2::success(); }

}  // namespace eelgrass
