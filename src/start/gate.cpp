#include "start/gate.hpp"

namespace amberswitch::start {

Gate::Gate(Deadlines& deadlines, Nanos maxWait, Open open)
    : deadlines_(deadlines), maxWait_(maxWait), open_(std::move(open)) {}

void Gate::begin(Time now, Has has) {
    begun_ = true, since_ = now, has_ = has;
    if (listed_ || has_ == Has::otherSource || (has_ == Has::oldList && maxWait_.count() == 0))
        return open(now);
    if (has_ == Has::oldList) due_.arm(deadlines_, now + maxWait_, [this](Time at) { open(at); });
}

void Gate::listed(Time now) {
    listed_ = true;
    if (begun_) open(now);
}

void Gate::open(Time now) {
    due_.disarm();
    if (!std::exchange(opened_, true)) open_(now);
}

}  // namespace amberswitch::start
