// The placement policy: in which jurisdictions the jobs of each partner may run. It is read from the section
// `placement` of the operator file. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "settings/strict.hpp"

namespace amberswitch::placement {

using heronmount::Nanos;

constexpr std::size_t kMaxJurisdictions = 16;
constexpr std::int64_t kSchema = 1;

// A set of jurisdictions in which a job may run, as bit masks. A server without a known jurisdiction is
// contained only in the set of all servers.
struct PlaceSet {
    std::uint32_t of = 0, never = 0;
    bool all = true;  // all except `never`; if false, only `of`
    bool operator==(const PlaceSet&) const = default;
    bool contains(std::uint32_t jurisdictions) const {
        if (jurisdictions & never) return false;
        // A server without a known jurisdiction may be in a forbidden one.
        return all ? never == 0 || jurisdictions != 0 : (jurisdictions & of) != 0;
    }
};

// The number of jobs that the whole fleet may run outside their home, in any `longSpan` and in any
// `shortSpan`.
struct Spill {
    std::uint32_t longJobs = 0, shortJobs = 0;
    Nanos longSpan{0}, shortSpan{0};
};

enum class Rule { home, homeFirst, anywhere };

struct Entry {  // the rule for one class of one partner
    Rule rule = Rule::anywhere;
    PlaceSet first, wide;  // the first choice, and the wider set that uses up the allowance
    Spill spill;
};

struct Policy {
    bool on = false;
    std::int64_t number = 0;
    std::uint64_t digest = 0;  // xxhash of the section's text without spaces
    std::vector<std::string> jurisdictions;
    struct Place {
        std::vector<int> zones;
        std::vector<std::string> servers;
    };
    std::vector<Place> places;                 // indexed by jurisdiction
    std::vector<std::vector<Entry>> partners;  // indexed by tenant and class of the site
    std::string keepFile;                      // persists the placement of servers; empty: disabled
    bool othersAnywhere = false;               // jobs of other tenants: anywhere if true, else refused

    std::uint32_t of(int zone, const std::string& server) const;  // a bit mask
    // Returns null if such jobs are refused.
    const Entry* entry(int tenant, std::size_t klass) const;

private:
    Entry anywhere_;
};

// Throws settings::BadField with the path in the file and the reason.
Policy readPolicy(const settings::Node& section, const settings::Site& site);

}  // namespace amberswitch::placement
