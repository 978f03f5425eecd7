#include "http/message.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace amberswitch::http {

namespace {

char lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool tokenChar(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), tokenChar);
}

std::string lowered(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), lower);
    return out;
}

bool names(std::string_view list, std::string_view word) {  // in a list parted by commas
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        if (lowered(trim(list.substr(0, comma))) == word) return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

}  // namespace

std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

std::optional<std::uint64_t> wholeNumber(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return value;
}

std::optional<double> decimalNumber(std::string_view text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
    // Guards against "nan" and "inf", which would spoil every sum they are added to.
    if (!std::isfinite(value)) return std::nullopt;
    return value;
}

std::vector<std::pair<std::string_view, std::string_view>> pairs(std::string_view text, char separator) {
    std::vector<std::pair<std::string_view, std::string_view>> out;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find(separator), text.size());
        const std::string_view item = trim(text.substr(0, end));
        if (const std::size_t is = item.find('='); is != std::string_view::npos)
            out.emplace_back(trim(item.substr(0, is)), trim(item.substr(is + 1)));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return out;
}

bool Message::repeats(std::string_view name) const {
    const auto is = [name](const auto& header) { return header.first == name; };
    return std::count_if(headers.begin(), headers.end(), is) > 1;
}

const std::string* Message::header(std::string_view name) const {
    for (const auto& [key, value] : headers)
        if (key == name) return &value;
    return nullptr;
}

std::string_view Message::path() const {
    return std::string_view(target).substr(0, target.find('?'));
}

std::size_t Parser::feed(std::string_view bytes) {
    std::size_t at = 0;
    while (at < bytes.size() && state_ != State::complete && state_ != State::bad) {
        const std::string_view rest = bytes.substr(at);
        if (state_ == State::body || state_ == State::chunk) {
            const std::size_t n = std::min(left_, rest.size());
            message_.body.append(rest.substr(0, n));
            at += n, left_ -= n;
            if (left_ == 0) state_ = state_ == State::body ? State::complete : State::chunkEnd;
            continue;
        }
        if (state_ == State::untilClose) {
            message_.body.append(rest);
            at += rest.size();
            if (message_.body.size() > mostBody_) fail(413);
            continue;
        }
        const std::size_t end = rest.find('\n');
        const std::size_t n = end == std::string_view::npos ? rest.size() : end + 1;
        headSize_ += n;
        // Guards against a head without an end.
        if (headSize_ > kMostHead) {
            fail(haveStart_ ? 431 : 414);
            break;
        }
        line_.append(rest.substr(0, n));
        at += n;
        if (end == std::string_view::npos) break;
        line_.pop_back();
        if (!line_.empty() && line_.back() == '\r') line_.pop_back();
        const std::string text = std::exchange(line_, {});
        if (!line(text)) break;
    }
    return at;
}

bool Parser::line(std::string_view text) {
    switch (state_) {
        case State::head:
            if (!haveStart_) return text.empty() ? true : startLine(text);  // blank lines before it are borne
            return text.empty() ? headEnd() : field(text);
        case State::chunkSize: {
            const std::string_view digits = trim(text.substr(0, text.find(';')));
            std::size_t size = 0;
            const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), size, 16);
            if (digits.empty() || error != std::errc() || end != digits.data() + digits.size())
                return fail(400);
            if (size > mostBody_ || message_.body.size() + size > mostBody_) return fail(413);
            left_ = size;
            state_ = size == 0 ? State::trailer : State::chunk;
            return true;
        }
        case State::chunkEnd:
            if (!text.empty()) return fail(400);
            headSize_ = 0;
            state_ = State::chunkSize;
            return true;
        case State::trailer:
            if (text.empty()) state_ = State::complete;
            return true;
        default:
            return fail(400);
    }
}

bool Parser::startLine(std::string_view text) {
    const std::size_t first = text.find(' ');
    if (first == std::string_view::npos) return fail(400);
    if (kind_ == Kind::answer) {
        const std::string_view version = text.substr(0, first), rest = text.substr(first + 1);
        if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail(400);
        message_.minor = version.back() - '0';
        const auto status = wholeNumber(rest.substr(0, 3));
        if (!status || *status < 100 || (rest.size() > 3 && rest[3] != ' ')) return fail(400);
        message_.status = static_cast<int>(*status);
    } else {
        const std::size_t last = text.rfind(' ');
        if (last == first) return fail(400);
        const std::string_view method = text.substr(0, first), version = text.substr(last + 1),
                               target = text.substr(first + 1, last - first - 1);
        if (!token(method) || target.empty()) return fail(400);
        for (const char c : target)
            if (static_cast<unsigned char>(c) <= 0x20 || static_cast<unsigned char>(c) >= 0x7f)
                return fail(400);
        if (version.substr(0, 5) != "HTTP/") return fail(400);
        if (version != "HTTP/1.1" && version != "HTTP/1.0") return fail(505);
        message_.minor = version.back() - '0';
        message_.method = method, message_.target = target;
    }
    haveStart_ = true;
    return true;
}

bool Parser::field(std::string_view text) {
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos || !token(text.substr(0, colon))) return fail(400);
    const std::string_view value = trim(text.substr(colon + 1));
    for (const char c : value)
        if ((static_cast<unsigned char>(c) < 0x20 && c != '\t') || c == 0x7f) return fail(400);
    if (message_.headers.size() >= 100) return fail(431);
    std::string name = lowered(text.substr(0, colon));
    if (name == "content-length") {
        const auto length = wholeNumber(value);
        // Guards against two lengths: what follows could be read as another request.
        if (!length || length_) return fail(400);
        length_ = static_cast<std::size_t>(*length);
    } else if (name == "transfer-encoding") {
        if (lowered(value) != "chunked" || chunked_) return fail(501);
        chunked_ = true;
    } else if (name == "expect") {
        continue_ = lowered(value) == "100-continue";
    }
    message_.headers.emplace_back(std::move(name), value);
    return true;
}

bool Parser::headEnd() {
    const std::string* const connection = message_.header("connection");
    message_.keepAlive = message_.minor == 1 ? !(connection && names(*connection, "close"))
                                             : connection && names(*connection, "keep-alive");
    if (chunked_ && length_) return fail(400);
    headSize_ = 0;
    const bool bodiless =
        kind_ == Kind::answer && (message_.status < 200 || message_.status == 204 || message_.status == 304);
    if (kind_ == Kind::answer && message_.status < 200) {  // an interim answer: the real one follows
        *this = Parser(kind_, mostBody_);
        return true;
    }
    if (bodiless || (length_ && *length_ == 0)) {
        state_ = State::complete;
    } else if (chunked_) {
        state_ = State::chunkSize;
    } else if (length_) {
        if (*length_ > mostBody_) return fail(413);
        left_ = *length_;
        state_ = State::body;
    } else if (kind_ == Kind::answer) {
        message_.keepAlive = false;
        state_ = State::untilClose;
    } else {
        state_ = State::complete;
    }
    return true;
}

std::size_t Parser::held() const {
    std::size_t bytes = line_.capacity() + message_.body.capacity();
    for (const auto& [name, value] : message_.headers) bytes += name.size() + value.size() + 64;
    return bytes;
}

void Parser::closed() {
    if (state_ == State::untilClose) state_ = State::complete;
}

Message Parser::take() {
    Message out = std::move(message_);
    *this = Parser(kind_, mostBody_);
    return out;
}

std::string_view reasonOf(int status) {
    switch (status) {
        case 200:
            return "OK";
        case 204:
            return "No Content";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 408:
            return "Request Timeout";
        case 409:
            return "Conflict";
        case 413:
            return "Content Too Large";
        case 414:
            return "URI Too Long";
        case 429:
            return "Too Many Requests";
        case 431:
            return "Request Header Fields Too Large";
        case 501:
            return "Not Implemented";
        case 502:
            return "Bad Gateway";
        case 503:
            return "Service Unavailable";
        case 504:
            return "Gateway Timeout";
        case 505:
            return "HTTP Version Not Supported";
        default:
            return "Status";
    }
}

std::string answer(int status, std::string_view body, bool keepAlive, std::string_view extra) {
    std::string out = "HTTP/1.1 " + std::to_string(status) + ' ';
    out += reasonOf(status);
    out += "\r\n";
    out += extra;
    if (status != 204) out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (!keepAlive) out += "Connection: close\r\n";
    out += "\r\n";
    out += body;
    return out;
}

}  // namespace amberswitch::http
