/** \file
 * Rules that a schema cannot express.
 */
#pragma once

#include "kernel/base/millis.h"
#include "kernel/config/document_issue.h"
#include "kernel/model/document.h"

namespace eelgrass {

/**
 * Everything that is wrong with a document as a whole: names used twice, references to nothing,
 * windows that overlap or end before they begin, guarantees that the declared racks cannot hold.
 * Guarantees that do not fit while a window or order takes a domain out are warnings.
 */
document_issues CheckRules(const document& doc);

/** Schema, then rules; the parsed document when there is no error. */
struct checked_document {
  document doc;
  document_issues issues;
  bool valid() const;
};

checked_document CheckDocument(std::string_view text);

/** How many guaranteed shapes do not fit on the declared racks, without one failure domain. */
int CountUnfitGuarantees(const document& doc, std::string_view without_domain);

}  // namespace eelgrass
