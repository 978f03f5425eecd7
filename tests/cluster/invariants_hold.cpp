// Linked into every test of the service. Makes a test program fail if an invariant (invariant.hpp) was
// violated while it ran, even if its own checks pass.
#include <cstdlib>
#include <iostream>

#include "cluster/common/invariant.hpp"

namespace amberswitch::cluster::testing {
namespace {

constexpr int kViolationExitStatus = 3;

class InvariantExitCheck {
public:
    ~InvariantExitCheck() {
        if (totalInvariantViolations() == 0) return;
        std::cerr << "invariants were violated:\n" << invariantMetricsText() << std::flush;
        std::_Exit(kViolationExitStatus);
    }
};

const InvariantExitCheck invariant_exit_check;

}  // namespace
}  // namespace amberswitch::cluster::testing
