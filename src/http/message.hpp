// HTTP/1.1 messages: a parser that takes bytes as they come, and writers of heads.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amberswitch::http {

constexpr std::size_t kMostHead = 16 * 1024;
constexpr std::size_t kMostBody = 64 * 1024;

struct Message {
    std::string method, target;                                // of a request
    int status = 0;                                            // of an answer
    int minor = 1;                                             // HTTP/1.minor
    std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
    std::string body;
    bool keepAlive = true;

    const std::string* header(std::string_view name) const;
    bool repeats(std::string_view name) const;  // there are two or more of this header
    std::string_view path() const;
};

class Parser {
public:
    enum class Kind { request, answer };
    enum class State { head, body, chunkSize, chunk, chunkEnd, trailer, untilClose, complete, bad };

    explicit Parser(Kind kind, std::size_t mostBody = kMostBody) : kind_(kind), mostBody_(mostBody) {}

    // Takes bytes until the message is complete; returns how many it took.
    std::size_t feed(std::string_view bytes);
    void closed();  // the other side sends no more
    State state() const { return state_; }
    bool complete() const { return state_ == State::complete; }
    bool bad() const { return state_ == State::bad; }
    bool started() const { return state_ != State::head || !line_.empty() || headSize_ > 0; }
    bool wantsContinue() const {
        return continue_;
    }                                     // true once the head asks for it and the body has not come
    int fault() const { return fault_; }  // the status that a bad request deserves
    std::size_t held() const;             // bytes kept of a message that is not complete
    const Message& message() const { return message_; }
    Message take();  // the complete message; the parser starts over

private:
    bool line(std::string_view text);
    bool startLine(std::string_view text);
    bool field(std::string_view text);
    bool headEnd();
    bool fail(int status) {
        state_ = State::bad, fault_ = status;
        return false;
    }

    Kind kind_;
    std::size_t mostBody_;
    State state_ = State::head;
    Message message_;
    std::string line_;
    std::size_t headSize_ = 0, left_ = 0;
    bool haveStart_ = false, chunked_ = false, continue_ = false;
    std::optional<std::size_t> length_;
    int fault_ = 0;
};

// Of "name=value" pairs parted by commas or semicolons, with blanks round them.
std::vector<std::pair<std::string_view, std::string_view>> pairs(std::string_view text, char separator);
std::string_view trim(std::string_view text);
std::optional<std::uint64_t> wholeNumber(std::string_view text);
std::optional<double> decimalNumber(std::string_view text);
std::string_view reasonOf(int status);

// An answer with its framing. `extra` holds whole header lines, each with its line end.
std::string answer(int status, std::string_view body, bool keepAlive, std::string_view extra = {});

}  // namespace amberswitch::http
