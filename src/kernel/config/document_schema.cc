#include "kernel/config/document_schema.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "kernel/encoding/document_json.h"

namespace eelgrass {
namespace {

using json = nlohmann::json;
using adapter = valijson::adapters::NlohmannJsonAdapter;

constexpr char kSeeSchema[] = "what `eelgrassctl config schema` lists for this place";

constexpr std::string_view kSchema = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "eelgrasshaven configuration",
  "type": "object",
  "additionalProperties": false,
  "required": ["base", "deployment", "domains", "organisations", "operators"],
  "definitions": {
    "name": {"type": "string", "pattern": "^[a-z0-9][a-z0-9_.-]{0,62}$"},
    "digest": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
    "amount": {"type": "integer", "minimum": 0, "maximum": 1000000},
    "resources": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "accelerators": {"$ref": "#/definitions/amount"},
        "cores": {"$ref": "#/definitions/amount"},
        "memory_gb": {"$ref": "#/definitions/amount"}
      }
    }
  },
  "properties": {
    "version": {"type": "integer", "minimum": 0},
    "base": {"type": "integer", "minimum": 0},
    "deployment": {"$ref": "#/definitions/name"},
    "review_required": {"type": "boolean"},
    "domains": {
      "type": "array", "minItems": 1, "maxItems": 64,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "region"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "region": {"$ref": "#/definitions/name"},
          "out": {"type": "boolean"},
          "out_mode": {"enum": ["drain", "move", "stop"]},
          "racks": {
            "type": "array", "maxItems": 10000,
            "items": {
              "type": "object", "additionalProperties": false,
              "required": ["name", "workers", "each"],
              "properties": {
                "name": {"$ref": "#/definitions/name"},
                "workers": {"type": "integer", "minimum": 1, "maximum": 10000},
                "each": {"$ref": "#/definitions/resources"}
              }
            }
          }
        }
      }
    },
    "windows": {
      "type": "array", "maxItems": 1000,
      "items": {
        "type": "object", "additionalProperties": false,
        "required": ["domain", "from_ms", "to_ms"],
        "properties": {
          "domain": {"$ref": "#/definitions/name"},
          "from_ms": {"type": "integer", "minimum": 0},
          "to_ms": {"type": "integer", "minimum": 0},
          "mode": {"enum": ["drain", "move", "stop"]}
        }
      }
    },
    "organisations": {
      "type": "array", "minItems": 1, "maxItems": 1000,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "weight": {"type": "integer", "minimum": 1, "maximum": 1000},
          "token_digests": {
            "type": "array", "maxItems": 4, "items": {"$ref": "#/definitions/digest"}},
          "guarantees": {
            "type": "array", "maxItems": 100,
            "items": {
              "type": "object", "additionalProperties": false, "required": ["shape"],
              "properties": {
                "shape": {"$ref": "#/definitions/resources"},
                "within": {"enum": ["worker", "rack", "domain", "region", "any"]},
                "count": {"type": "integer", "minimum": 1, "maximum": 10000}
              }
            }
          },
          "max_connections": {"type": "integer", "minimum": 0, "maximum": 100000}
        }
      }
    },
    "operators": {
      "type": "array", "minItems": 1, "maxItems": 1000,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "token_digests"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "token_digests": {
            "type": "array", "minItems": 1, "maxItems": 4,
            "items": {"$ref": "#/definitions/digest"}},
          "may_review": {"type": "boolean"}
        }
      }
    },
    "job_classes": {
      "type": "array", "maxItems": 1000,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "rank": {"enum": ["urgent", "normal", "batch"]},
          "idempotent": {"type": "boolean"},
          "checkpoint_ms": {"type": "integer", "minimum": 0, "maximum": 3600000},
          "longest_ms": {"type": "integer", "minimum": 0},
          "max_attempts": {"type": "integer", "minimum": 1, "maximum": 100}
        }
      }
    },
    "services": {
      "type": "array", "maxItems": 1000,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "default_deadline_ms": {"type": "integer", "minimum": 10, "maximum": 120000},
          "max_body": {"type": "integer", "minimum": 0, "maximum": 4000000},
          "max_queue": {"type": "integer", "minimum": 1, "maximum": 100000}
        }
      }
    },
    "objectives": {
      "type": "array", "maxItems": 1000,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["service", "target"],
        "properties": {
          "organisation": {"type": "string"},
          "service": {"$ref": "#/definitions/name"},
          "target": {"type": "number", "minimum": 0.5, "maximum": 0.99999},
          "latency_ms": {"type": "integer", "minimum": 0}
        }
      }
    }
  }
})json";

const valijson::Schema& CompiledSchema() {
  static const valijson::Schema* schema = [] {
    static const json kTree = json::parse(kSchema);
    auto* compiled = new valijson::Schema;
    valijson::SchemaParser parser;
    parser.populateSchema(adapter(kTree), *compiled);
    return compiled;
  }();
  return *schema;
}

/** Turns valijson's path, such as <root>[domains][0], into a JSON pointer. */
std::string PointerOf(const std::vector<std::string>& context) {
  std::string pointer;
  for (const auto& step : context) {
    if (step == "<root>") continue;
    std::string name = step;
    if (name.size() >= 2 && name.front() == '[' && name.back() == ']') {
      name = name.substr(1, name.size() - 2);
    }
    pointer += "/" + name;
  }
  return pointer;
}

}  // namespace

std::string_view DocumentSchema() { return kSchema; }

document_issues CheckSchema(std::string_view text) {
  document_issues issues;
  const auto bounds = CheckJsonBounds(text, kMaxDocumentBytes);
  if (!bounds) {
    issues.push_back({"", bounds.error().detail, "JSON of at most 4 MiB, 32 levels deep", false});
    return issues;
  }
  const json tree = json::parse(text);
  valijson::Validator validator;
  valijson::ValidationResults found;
  if (validator.validate(CompiledSchema(), adapter(tree), &found)) return issues;
  valijson::ValidationResults::Error fault;
  while (found.popError(fault)) {
    const std::string pointer = PointerOf(fault.context);
    const bool summary = fault.description.find("Failed to validate against schema") == 0 ||
                         fault.description.find("Failed to validate item") == 0;
    if (summary) continue;
    issues.push_back({pointer, fault.description, kSeeSchema, false});
  }
  if (issues.empty()) issues.push_back({"", "does not follow the schema", "", false});
  return issues;
}

}  // namespace eelgrass
