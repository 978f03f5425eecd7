// Binds callbacks to the lifetime of the object that creates them: a guarded callback does nothing once its
// owner is destroyed.
#pragma once

#include <memory>
#include <utility>

namespace amberswitch::cluster {

class Lifetime {
public:
    // Returns a callable that forwards to `work`, or does nothing after this Lifetime was destroyed.
    template <class Work>
    auto guard(Work work) const {
        return [alive = std::weak_ptr<int>(token_), work = std::move(work)](auto&&... arguments) {
            if (!alive.expired()) work(std::forward<decltype(arguments)>(arguments)...);
        };
    }

private:
    std::shared_ptr<int> token_ = std::make_shared<int>(0);
};

}  // namespace amberswitch::cluster
