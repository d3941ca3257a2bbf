/** \file
 * What is wrong with a document.
 */
#pragma once

#include <string>
#include <vector>

namespace eelgrass {

/** One fault, with the place where it is. */
struct document_issue {
  std::string pointer;  // JSON pointer (RFC 6901) into the document
  std::string problem;  // what is wrong
  std::string allowed;  // what would be right
  bool warning = false;
};

using document_issues = std::vector<document_issue>;

}  // namespace eelgrass
