// Reads the settings object; needs simdjson's types.
#pragma once

#include "settings/json.hpp"

namespace amberswitch::settings {

heronmount::Settings readSettings(const object& info);
Site readSite(const object& info);

}  // namespace amberswitch::settings
