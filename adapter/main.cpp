// heronmount_drill: reads the simulator's protocol (wire.hpp) from standard input and writes the replies to
// standard output. Exits with status 2 at the first bad line.
#include <cstdio>
#include <iostream>
#include <string>

#include "wire.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    heronmount::wire::Codec codec;
    std::string line;
    std::uint64_t number = 0;
    while (std::getline(std::cin, line)) {
        ++number;
        if (line.empty()) continue;
        try {
            if (codec.feed(line)) std::cout << codec.reply() << std::flush;
        } catch (const heronmount::wire::BadLine& bad) {
            std::cerr << "heronmount_drill: line " << number << ": " << bad.what() << '\n';
            return 2;
        }
    }
    return 0;
}
