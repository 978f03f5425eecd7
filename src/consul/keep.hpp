// The last good view on disk, so that a start needn't begin with nothing where Consul is away: the message of
// state.proto, sealed as src/store says.
#pragma once

#include <map>
#include <vector>

#include "consul/view.hpp"
#include "store/keeper.hpp"

namespace amberswitch::consul {

struct Kept {
    std::uint64_t site = 0;
    Time at{0};
    std::map<View::Scope, std::vector<Instance>> scopes;
    bool operator==(const Kept&) const = default;
};

std::string encode(const Kept& kept);
// None, and `fault` says why, if the bytes are not a whole file of this kind.
std::optional<Kept> decode(std::string_view bytes, std::string& fault);

using store::StateFileConfig;

class Keeper {
public:
    using Say = store::StateFile::Log;
    Keeper(StateFileConfig config, std::uint64_t site, Say say);

    bool on() const { return file_.on(); }
    // What was kept, unless it is torn, foreign, too old or from the future; then a line says which.
    std::optional<Kept> load(Time now);
    void save(Time now, const std::map<View::Scope, std::vector<Instance>>& scopes);
    const store::StateFile::Counters& counters() const { return file_.counters(); }

private:
    store::StateFile file_;
};

}  // namespace amberswitch::consul
