// Reads the project's own file strictly: every fault is told with its path (`grpc.routes[2].class`), and a
// field that nobody reads is one.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "settings/json.hpp"

namespace amberswitch::settings {

class Node {
public:
    Node(element value, std::string path) : value_(value), path_(std::move(path)) {}

    const std::string& path() const { return path_; }
    [[noreturn]] void fail(const std::string& reason) const {
        throw BadField((path_.empty() ? "the file" : path_) + ": " + reason);
    }

    // An object whose fields are among these, none of them twice. A wrong name is answered with the right
    // ones.
    class Table;
    Table table(std::initializer_list<std::string_view> fields) const;
    // An object whose names are free, such as a map from names to values; none twice.
    std::vector<std::pair<std::string, Node>> entries() const {
        object from;
        if (value_.get(from) != simdjson::SUCCESS) fail("is not an object");
        std::vector<std::pair<std::string, Node>> out;
        for (const auto [name, value] : from) {
            for (const auto& [other, node] : out)
                if (other == name) node.fail("is given twice");
            out.emplace_back(std::string(name), Node(value, joined(name)));
        }
        return out;
    }
    std::vector<Node> list(std::size_t most = 10'000) const {
        simdjson::dom::array from;
        if (value_.get(from) != simdjson::SUCCESS) fail("is not a list");
        std::vector<Node> out;
        for (const element value : from) {
            if (out.size() >= most) fail("holds more than " + std::to_string(most) + " entries");
            out.emplace_back(value, path_ + '[' + std::to_string(out.size()) + ']');
        }
        return out;
    }
    std::string plain() const { return simdjson::minify(value_); }  // as JSON without spaces
    std::string text() const { return std::string(get<std::string_view>("a string")); }
    bool flag() const { return get<bool>("true or false"); }
    std::int64_t integer(std::int64_t least, std::int64_t most) const {
        const auto value = get<std::int64_t>("a whole number");
        if (value < least || value > most)
            fail("is not from " + std::to_string(least) + " to " + std::to_string(most));
        return value;
    }
    double number(double least, double most) const {
        const auto value = get<double>("a number");
        if (!(value >= least && value <= most)) {
            char range[64];
            std::snprintf(range, sizeof range, "is not from %g to %g", least, most);
            fail(range);
        }
        return value;
    }
    std::size_t place(const std::vector<std::string>& names,
                      const char* what) const {  // of a name among these
        const std::string name = text();
        const auto at = std::find(names.begin(), names.end(), name);
        if (at == names.end()) fail("there is no " + std::string(what) + " '" + name + "'");
        return static_cast<std::size_t>(at - names.begin());
    }

private:
    template <class T>
    T get(const char* type) const {
        T out;
        if (value_.get(out) != simdjson::SUCCESS) fail(std::string("is not ") + type);
        return out;
    }
    std::string joined(std::string_view name) const {
        return path_.empty() ? std::string(name) : path_ + '.' + std::string(name);
    }

    element value_;
    std::string path_;
};

class Node::Table {
public:
    Table(const Node& of, std::initializer_list<std::string_view> fields) : of_(of), entries_(of.entries()) {
        for (const auto& [name, node] : entries_)
            if (std::find(fields.begin(), fields.end(), name) == fields.end()) {
                std::string known;
                for (const auto field : fields) known += (known.empty() ? "" : ", ") + std::string(field);
                node.fail("there is no such field; known are " + known);
            }
    }
    const Node* find(std::string_view name) const {
        for (const auto& [field, node] : entries_)
            if (field == name) return &node;
        return nullptr;
    }
    const Node& need(std::string_view name) const {
        if (const Node* const node = find(name)) return *node;
        Node(element(), of_.joined(name)).fail("is missing");
    }
    std::string text(std::string_view name, std::string fallback) const {
        const Node* const node = find(name);
        return node ? node->text() : fallback;
    }
    bool flag(std::string_view name, bool fallback) const {
        const Node* const node = find(name);
        return node ? node->flag() : fallback;
    }
    template <class T>
    T integer(std::string_view name, T fallback, std::int64_t least, std::int64_t most) const {
        const Node* const node = find(name);
        return node ? static_cast<T>(node->integer(least, most)) : fallback;
    }
    double number(std::string_view name, double fallback, double least, double most) const {
        const Node* const node = find(name);
        return node ? node->number(least, most) : fallback;
    }
    heronmount::Nanos milliseconds(std::string_view name, heronmount::Nanos fallback, std::int64_t least,
                                   std::int64_t most = 86'400'000) const {
        const Node* const node = find(name);
        return node ? heronmount::Nanos(node->integer(least, most) * 1'000'000) : fallback;
    }
    const Node& node() const { return of_; }

private:
    Node of_;
    std::vector<std::pair<std::string, Node>> entries_;
};

inline Node::Table Node::table(std::initializer_list<std::string_view> fields) const {
    return Table(*this, fields);
}

}  // namespace amberswitch::settings
