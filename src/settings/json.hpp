// Readers of JSON fields that say which field is wrong, shared by the adapter and the program.
#pragma once

#include <simdjson.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "settings/settings.hpp"

namespace amberswitch::settings {

using simdjson::dom::element;
using simdjson::dom::object;

[[noreturn]] inline void bad(const std::string& what) {
    throw BadField(what);
}

// Field readers. The plain ones demand the field; those with a fallback take null and absence for it.
inline std::optional<element> find(const object& from, std::string_view key) {
    element value;
    if (from[key].get(value) != simdjson::SUCCESS || value.is_null()) return std::nullopt;
    return value;
}

template <class T>
T as(const element& value, std::string_view key, const char* type) {
    T out;
    if (value.get(out) != simdjson::SUCCESS) bad("field '" + std::string(key) + "' is not " + type);
    return out;
}

template <class T>
T need(const object& from, std::string_view key, const char* type) {
    const auto value = find(from, key);
    if (!value) bad("field '" + std::string(key) + "' is missing");
    return as<T>(*value, key, type);
}

inline std::int64_t integer(const object& from, std::string_view key) {
    return need<std::int64_t>(from, key, "a whole number");
}
inline std::int64_t integer(const object& from, std::string_view key, std::int64_t fallback) {
    const auto value = find(from, key);
    return value ? as<std::int64_t>(*value, key, "a whole number") : fallback;
}
inline double number(const object& from, std::string_view key, double fallback) {
    const auto value = find(from, key);
    return value ? as<double>(*value, key, "a number") : fallback;
}
inline bool flag(const object& from, std::string_view key, bool fallback) {
    const auto value = find(from, key);
    return value ? as<bool>(*value, key, "true or false") : fallback;
}
inline std::string_view text(const object& from, std::string_view key) {
    return need<std::string_view>(from, key, "a string");
}
inline std::string_view text(const object& from, std::string_view key, std::string_view fallback) {
    const auto value = find(from, key);
    return value ? as<std::string_view>(*value, key, "a string") : fallback;
}
inline object table(const object& from, std::string_view key) {
    return need<object>(from, key, "an object");
}
inline simdjson::dom::array list(const object& from, std::string_view key) {
    return need<simdjson::dom::array>(from, key, "a list");
}
inline std::size_t listSize(const object& from, std::string_view key) {
    const auto value = find(from, key);
    return value ? as<simdjson::dom::array>(*value, key, "a list").size() : 0;
}
inline object asObject(const element& value, std::string_view key) {
    return as<object>(value, key, "an object");
}

template <class T>
T choice(std::string_view word, std::string_view key,
         std::initializer_list<std::pair<const char*, T>> words) {
    for (const auto& [name, value] : words)
        if (word == name) return value;
    bad("field '" + std::string(key) + "' has the unknown value '" + std::string(word) + "'");
}

}  // namespace amberswitch::settings
