// The error of everything that touches the data folder.
#pragma once

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>

namespace amberswitch::cluster {

// what(): "PATH: OPERATION: REASON".
class StorageError : public std::runtime_error {
public:
    StorageError(const std::string& path, const std::string& operation, const std::string& reason)
        : std::runtime_error(path + ": " + operation + ": " + reason) {}
    // The reason is that of the last system call (errno).
    static StorageError fromErrno(const std::string& path, const std::string& operation) {
        return {path, operation, std::strerror(errno)};
    }
};

}  // namespace amberswitch::cluster
