// The commands that serve nothing: they look at a file or a folder, print what they found and end.
#pragma once

#include <string>

namespace amberswitch::cluster {

// Checks a settings file (YAML) or a configuration (JSON), told apart by the name's extension, else by the
// content. Prints "ok" to standard output, or the fault in one line to standard error. Returns the exit
// status.
int checkFile(const std::string& path);

// Prints what a store keeps in its data folder. Returns the exit status.
int inspectFolder(const std::string& folder);

}  // namespace amberswitch::cluster
