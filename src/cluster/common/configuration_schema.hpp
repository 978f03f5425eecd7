// The JSON schema (draft 7) of the operator's configuration.
#pragma once

namespace amberswitch::cluster {

// Holds what each field must look like by itself. Rules between fields are in configuration.cpp. Fields that
// the schema doesn't name are allowed. Whole numbers may be written with a fraction of 0 (7.0).
extern const char* const kConfigurationSchema;

}  // namespace amberswitch::cluster
