/** \file
 * Who a token belongs to.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "kernel/model/document.h"

namespace eelgrass {

/** Who is calling. */
struct principal {
  enum class kind { kOrganisation, kOperator };
  kind what = kind::kOrganisation;
  std::string name;
  bool may_review = false;

  bool is_operator() const { return what == kind::kOperator; }
};

/**
 * Finds the owner of a token by its SHA-256 digest. Digests are compared in constant time, and all
 * of them are looked at. Several digests may be valid for one owner while a key is replaced.
 */
std::optional<principal> FindPrincipal(const document& doc, std::string_view token_digest);

}  // namespace eelgrass
