/** \file
 * The HTTP status codes that the programs send and understand, by their names in RFC 9110.
 */
#pragma once

namespace eelgrass::http_status {

inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kMisdirectedRequest = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kFirstServerError = 500;
inline constexpr int kServiceUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

}  // namespace eelgrass::http_status
