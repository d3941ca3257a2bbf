#include "kernel/config/access_list.h"

#include "kernel/base/digest.h"

namespace eelgrass {
namespace {

bool HasDigest(const std::vector<std::string>& digests, std::string_view wanted) {
  bool found = false;
  for (const auto& digest : digests) found = EqualInConstantTime(digest, wanted) || found;
  return found;
}

}  // namespace

std::optional<principal> FindPrincipal(const document& doc, std::string_view token_digest) {
  std::optional<principal> owner;
  for (const auto& entry : doc.organisations) {
    if (HasDigest(entry.token_digests, token_digest)) {
      owner = principal{principal::kind::kOrganisation, entry.name, false};
    }
  }
  for (const auto& entry : doc.operators) {
    if (HasDigest(entry.token_digests, token_digest)) {
      owner = principal{principal::kind::kOperator, entry.name, entry.may_review};
    }
  }
  return owner;
}

}  // namespace eelgrass
