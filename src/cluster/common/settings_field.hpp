// A field of a YAML settings file together with the path that names it in errors ("limits.memoryMb").
#pragma once

#include <yaml-cpp/yaml.h>

#include <map>
#include <string>
#include <vector>

#include "cluster/common/types.hpp"

namespace amberswitch::cluster {

// The permitted values of a numeric field, both ends included.
struct NumberRange {
    double lowest;
    double highest;
};

// A field that may be absent; a null value counts as absent. Accessors without a fallback throw SettingsError
// if the field is absent. All accessors throw SettingsError if the value is invalid.
class SettingsField {
public:
    // The root of the file. Throws SettingsError if the file cannot be read, or is not a YAML map.
    static SettingsField fromFile(const std::string& file);

    SettingsField child(const std::string& key) const;
    bool isAbsent() const;

    // Throws a SettingsError for this field.
    [[noreturn]] void fail(const std::string& reason) const;

    std::string text() const;  // never empty
    std::string textOr(const std::string& fallback) const;
    bool booleanOr(bool fallback) const;
    double number(NumberRange range) const;
    double numberOr(double fallback, NumberRange range) const;
    // A number without a fractional part; 260.0 is accepted as 260.
    std::uint32_t integer(NumberRange range) const;
    std::uint32_t integerOr(std::uint32_t fallback, NumberRange range) const;
    // Durations that the file gives in milliseconds or in seconds.
    Millis millisOr(Millis fallback) const;
    Millis secondsOr(Millis fallback) const;
    std::string ip() const;
    NodeAddress address() const;
    // The elements of a list; empty if the field is absent.
    std::vector<SettingsField> items() const;
    // The entries of a map by key; empty if the field is absent.
    std::map<std::string, SettingsField> entries() const;

private:
    SettingsField(std::string file, std::string path, const YAML::Node& node);
    void requirePresent() const;
    const std::string& scalar() const;

    std::string file_;
    std::string path_;  // empty for the root
    YAML::Node node_;
};

}  // namespace amberswitch::cluster
