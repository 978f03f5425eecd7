// Where a partner's work may be done: the document, as the operator file's section `placement` holds it. No
// I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "settings/strict.hpp"

namespace amberswitch::placement {

using heronmount::Nanos;

constexpr std::size_t kMostJurisdictions = 16;
constexpr std::int64_t kSchema = 1;

// A set of places, by bits of jurisdictions. A server of no known jurisdiction is in it only where all are.
struct Reach {
    std::uint32_t of = 0, never = 0;
    bool all = true;  // but for `never`; else `of` alone
    bool operator==(const Reach&) const = default;
    bool holds(std::uint32_t jurisdictions) const {
        if (jurisdictions & never) return false;
        // Guards against an unknown server that may be in a place that is forbidden.
        return all ? never == 0 || jurisdictions != 0 : (jurisdictions & of) != 0;
    }
};

// Jobs that may go elsewhere, over the whole fleet: so many in any span of `longSpan`, and of `shortSpan`.
struct Spill {
    std::uint32_t longJobs = 0, shortJobs = 0;
    Nanos longSpan{0}, shortSpan{0};
};

enum class Rule { home, homeFirst, anywhere };

struct Entry {  // of a partner's class
    Rule rule = Rule::anywhere;
    Reach first, wide;  // where it goes, and where it may go out of the allowance
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
    std::vector<Place> places;                 // by jurisdiction
    std::vector<std::vector<Entry>> partners;  // by the site's tenant and class
    std::string keepFile;                      // where standings are kept over a restart; empty: nowhere
    bool othersGo = false;                     // who is no partner: anywhere, else refused

    std::uint32_t of(int zone, const std::string& server) const;  // the jurisdictions' bits
    // Null: this work is done nowhere.
    const Entry* entry(int tenant, std::size_t klass) const;

private:
    Entry anywhere_;
};

// Throws settings::BadField with the path in the file and the reason.
Policy readPolicy(const settings::Node& section, const settings::Site& site);

}  // namespace amberswitch::placement
