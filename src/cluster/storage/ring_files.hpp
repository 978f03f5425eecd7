// The names of the ring's files.
#pragma once

#include <cstddef>
#include <string>

namespace amberswitch::cluster {

std::string segmentPath(const std::string& directory, std::size_t slot);
// One more than the highest slot that has a file. Throws StorageError.
std::size_t slotsInFolder(const std::string& directory);
// Creates the folder and its parents if need be. Throws StorageError.
void createFolder(const std::string& directory);

}  // namespace amberswitch::cluster
