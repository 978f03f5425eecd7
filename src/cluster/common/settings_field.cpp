#include "cluster/common/settings_field.hpp"

#include <cmath>
#include <cstdio>
#include <ios>
#include <utility>

#include "cluster/common/address.hpp"
#include "cluster/common/settings.hpp"

namespace amberswitch::cluster {
namespace {

constexpr double kMaxMillis = 1e12;  // about 30 years; does not overflow in any unit of time
constexpr double kMillisPerSecond = 1000;

std::string formatNumber(double number) {
    char text[32];
    std::snprintf(text, sizeof text, "%.12g", number);
    return text;
}

YAML::Node parseFile(const std::string& file) {
    try {
        return YAML::LoadFile(file);
    } catch (const YAML::BadFile&) {
        throw SettingsError(file, "file", "cannot be read");
    } catch (const std::ios_base::failure&) {  // the path is a directory, or the disk fails
        throw SettingsError(file, "file", "cannot be read");
    } catch (const YAML::ParserException& error) {
        throw SettingsError(file, "line " + std::to_string(error.mark.line + 1), error.msg);
    }
}

}  // namespace

SettingsField SettingsField::fromFile(const std::string& file) {
    const YAML::Node root = parseFile(file);
    if (!root.IsMap()) throw SettingsError(file, "file", "must hold a map of fields");
    return {file, "", root};
}

SettingsField::SettingsField(std::string file, std::string path, const YAML::Node& node)
    : file_(std::move(file)), path_(std::move(path)), node_(node) {}

SettingsField SettingsField::child(const std::string& key) const {
    const std::string path = path_.empty() ? key : path_ + "." + key;
    if (isAbsent()) return {file_, path, YAML::Node(YAML::NodeType::Undefined)};
    if (!node_.IsMap()) fail("must be a map of fields");
    const YAML::Node& parent = node_;
    return {file_, path, parent[key]};
}

bool SettingsField::isAbsent() const {
    return !node_.IsDefined() || node_.IsNull();
}

void SettingsField::fail(const std::string& reason) const {
    throw SettingsError(file_, path_.empty() ? "file" : path_, reason);
}

void SettingsField::requirePresent() const {
    if (isAbsent()) fail("is missing");
}

const std::string& SettingsField::scalar() const {
    requirePresent();
    if (!node_.IsScalar()) fail("must be a single value");
    return node_.Scalar();
}

std::string SettingsField::text() const {
    const std::string& value = scalar();
    if (value.empty()) fail("must not be empty");
    return value;
}

std::string SettingsField::textOr(const std::string& fallback) const {
    return isAbsent() ? fallback : scalar();
}

bool SettingsField::booleanOr(bool fallback) const {
    if (isAbsent()) return fallback;
    bool value = false;
    if (!YAML::convert<bool>::decode(node_, value)) fail("must be true or false, not '" + scalar() + "'");
    return value;
}

double SettingsField::number(NumberRange range) const {
    const std::string& written = scalar();
    double value = 0;
    if (!YAML::convert<double>::decode(node_, value)) fail("must be a number, not '" + written + "'");
    const bool in_range = value >= range.lowest && value <= range.highest;  // false for NaN
    if (!in_range) {
        fail("must be from " + formatNumber(range.lowest) + " to " + formatNumber(range.highest) + ", not " +
             written);
    }
    return value;
}

double SettingsField::numberOr(double fallback, NumberRange range) const {
    return isAbsent() ? fallback : number(range);
}

std::uint32_t SettingsField::integer(NumberRange range) const {
    const double value = number(range);
    if (value != std::floor(value)) fail("must be a whole number, not " + scalar());
    return static_cast<std::uint32_t>(value);
}

std::uint32_t SettingsField::integerOr(std::uint32_t fallback, NumberRange range) const {
    return isAbsent() ? fallback : integer(range);
}

Millis SettingsField::millisOr(Millis fallback) const {
    if (isAbsent()) return fallback;
    return Millis(std::llround(number({0, kMaxMillis})));
}

Millis SettingsField::secondsOr(Millis fallback) const {
    if (isAbsent()) return fallback;
    return Millis(std::llround(number({0, kMaxMillis / kMillisPerSecond}) * kMillisPerSecond));
}

std::string SettingsField::ip() const {
    std::string value = text();
    if (!isIpv4(value)) fail("must be an IPv4 address, not '" + value + "'");
    return value;
}

NodeAddress SettingsField::address() const {
    const std::string value = text();
    std::optional<NodeAddress> parsed = parseNodeAddress(value);
    if (!parsed) fail("must be IPV4:PORT, not '" + value + "'");
    return *std::move(parsed);
}

std::vector<SettingsField> SettingsField::items() const {
    std::vector<SettingsField> found;
    if (isAbsent()) return found;
    if (!node_.IsSequence()) fail("must be a list");
    found.reserve(node_.size());
    for (const YAML::Node& item : node_) {
        found.push_back({file_, path_ + "[" + std::to_string(found.size()) + "]", item});
    }
    return found;
}

std::map<std::string, SettingsField> SettingsField::entries() const {
    std::map<std::string, SettingsField> found;
    if (isAbsent()) return found;
    if (!node_.IsMap()) fail("must be a map");
    for (const auto& entry : node_) {
        const std::string key = entry.first.Scalar();
        found.emplace(key, SettingsField(file_, path_ + "." + key, entry.second));
    }
    return found;
}

}  // namespace amberswitch::cluster
