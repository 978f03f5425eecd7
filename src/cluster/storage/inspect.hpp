// Reports the contents of a ring on disk, for operators and engineers.
#pragma once

#include <ostream>
#include <string>

namespace amberswitch::cluster {

// Writes a line for each file of the ring in `directory` and a summary line. Changes nothing; the ring should
// not be in use. Throws StorageError if the directory or a file can't be read.
void inspectRing(const std::string& directory, std::ostream& out);

}  // namespace amberswitch::cluster
