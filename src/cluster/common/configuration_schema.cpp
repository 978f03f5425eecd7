#include "cluster/common/configuration_schema.hpp"

namespace amberswitch::cluster {

const char* const kConfigurationSchema = R"json({
  "type": "object",
  "required": ["generation", "routes", "services"],
  "properties": {
    "generation": {"type": "number", "minimum": 0, "maximum": 9007199254740992, "multipleOf": 1.0},
    "routes": {
      "type": "array",
      "items": {
        "type": "object",
        "required": ["name", "hostname", "pathPrefix", "type", "backend", "timeoutMs"],
        "properties": {
          "name": {"type": "string", "minLength": 1},
          "hostname": {"type": "string", "minLength": 1},
          "pathPrefix": {"type": "string"},
          "type": {"type": "string", "minLength": 1},
          "backend": {"type": "string", "minLength": 1},
          "priority": {"type": "number", "minimum": 0, "multipleOf": 1.0},
          "timeoutMs": {"type": "number", "exclusiveMinimum": 0},
          "targetLatencyMs": {"type": "number", "minimum": 0},
          "scheduleTargetMs": {"type": "number", "minimum": 0},
          "maxRetries": {"type": "number", "minimum": 0, "multipleOf": 1.0},
          "ordered": {"type": "boolean"},
          "retentionS": {"type": "number", "minimum": 0},
          "callbackUrl": {"type": "boolean"}
        }
      }
    },
    "services": {
      "type": "array",
      "items": {
        "type": "object",
        "required": ["name", "maxConnections"],
        "properties": {
          "name": {"type": "string", "minLength": 1},
          "healthCheck": {"type": "string"},
          "maxConnections": {"type": "number", "minimum": 1, "multipleOf": 1.0},
          "ratePerS": {"type": "number", "minimum": 0},
          "idempotent": {"type": "boolean"},
          "static": {"type": ["string", "null"]}
        }
      }
    },
    "limits": {
      "type": "object",
      "properties": {
        "maxHeaderBytes": {"type": "number", "minimum": 1, "multipleOf": 1.0},
        "maxBodyBytes": {"type": "number", "minimum": 0, "multipleOf": 1.0},
        "headerTimeoutMs": {"type": "number", "exclusiveMinimum": 0},
        "idleTimeoutMs": {"type": "number", "exclusiveMinimum": 0}
      }
    }
  }
})json";

}  // namespace amberswitch::cluster
