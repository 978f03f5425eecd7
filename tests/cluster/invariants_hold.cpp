// Linked into every test of the service: a test during which an invariant of the running code was violated
// fails, whatever its own checks say.
#include <cstdlib>
#include <iostream>

#include "cluster/common/invariant.hpp"

namespace amberswitch::cluster::testing {
namespace {

constexpr int kViolated = 3;  // exit status

class ChecksAtExit {
public:
    ~ChecksAtExit() {
        if (invariantViolations() == 0) return;
        std::cerr << "invariants were violated:\n" << invariantsText() << std::flush;
        std::_Exit(kViolated);
    }
};

const ChecksAtExit checks_at_exit;

}  // namespace
}  // namespace amberswitch::cluster::testing
