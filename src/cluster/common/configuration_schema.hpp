// The JSON schema (draft 7) of the operator's configuration.
#pragma once

namespace amberswitch::cluster {

// Constrains each field by itself; configuration.cpp and configuration_parser.cpp check the rules between
// fields. Fields that the schema does not name are allowed. Integers may be written with a fraction of 0
// (7.0).
extern const char* const kConfigurationSchema;

}  // namespace amberswitch::cluster
