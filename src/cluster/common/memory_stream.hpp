// Streams over bytes in memory without set-up cost. A std::stringstream copies its bytes and looks up the
// locale each time it is created, which took a third of the time to encode or decode a message.
#pragma once

#include <istream>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>

namespace amberswitch::cluster {

// Reads from bytes that must outlive the buffer.
class MemorySource : public std::streambuf {
public:
    explicit MemorySource(std::string_view bytes) {
        char* const begin = const_cast<char*>(bytes.data());  // never written to
        setg(begin, begin, begin + bytes.size());
    }
    bool atEnd() const { return gptr() == egptr(); }
};

// Appends to a string that must outlive the buffer.
class MemorySink : public std::streambuf {
public:
    explicit MemorySink(std::string& bytes) : bytes_(bytes) {}

protected:
    std::streamsize xsputn(const char* data, std::streamsize size) override {
        bytes_.append(data, static_cast<std::size_t>(size));
        return size;
    }
    int_type overflow(int_type character) override {
        if (!traits_type::eq_int_type(character, traits_type::eof()))
            bytes_.push_back(traits_type::to_char_type(character));
        return traits_type::not_eof(character);
    }

private:
    std::string& bytes_;
};

// Returns this thread's input stream, which reads from `source` until the next call. Clears its error state.
inline std::istream& streamFrom(MemorySource& source) {
    thread_local std::istream stream(nullptr);
    stream.rdbuf(&source);
    return stream;
}

// Returns this thread's output stream, which writes to `sink` until the next call. Clears its error state.
inline std::ostream& streamTo(MemorySink& sink) {
    thread_local std::ostream stream(nullptr);
    stream.rdbuf(&sink);
    return stream;
}

}  // namespace amberswitch::cluster
