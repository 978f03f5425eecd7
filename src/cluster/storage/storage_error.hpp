// The exception for failed operations on the data folder.
#pragma once

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string>

namespace amberswitch::cluster {

// what() has the form "PATH: OPERATION: REASON".
class StorageError : public std::runtime_error {
public:
    StorageError(const std::string& path, const std::string& operation, const std::string& reason)
        : std::runtime_error(path + ": " + operation + ": " + reason) {}
    // Takes the reason from errno, as set by the last system call.
    static StorageError fromErrno(const std::string& path, const std::string& operation) {
        return {path, operation, std::strerror(errno)};
    }
};

}  // namespace amberswitch::cluster
