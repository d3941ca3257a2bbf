/** \file
 * HTTP requests and responses as the front ends and clients exchange them with the kernel.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/messages.h"

namespace eelgrass {

/** A request that a front end has received whole. */
struct http_request {
  uint64_t id = 0;
  std::string method;
  std::string target;  // path and query
  std::vector<header_field> headers;
  bytes body;

  /** Value of the first header with this name, in any case; empty when there is none. */
  std::string_view Header(std::string_view name) const;
  std::string_view path() const;
  std::string_view query() const;

  /** Value of a query parameter, without decoding; empty when there is none. */
  std::string_view Parameter(std::string_view name) const;
};

/** A response, whole. */
struct http_response {
  int status = 0;
  std::vector<header_field> headers;
  bytes body;
  bool close = false;  // ends the connection after this response
  /**
   * Of a client's call: the request was sent more than once, as a kept connection ended without an
   * answer. This response is to the last copy. Whatever it says, an earlier copy may have had its
   * effect, or may still have it.
   */
  bool repeated = false;
};

/** Value of the first header with this name, in any case; empty when there is none. */
std::string_view FindHeader(const std::vector<header_field>& headers, std::string_view name);

/** A call to another HTTP server. */
struct http_call {
  std::string method;
  std::string url;
  std::vector<header_field> headers;
  bytes body;
  millis timeout{0};
  /**
   * Uses a connection of its own: on a reused one the client library silently sends a request
   * again when the connection turns out to be dead.
   */
  bool once = false;
};

}  // namespace eelgrass
