#include "lab/report.hpp"

#include <spawn.h>
#include <sys/wait.h>

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <fstream>
#include <sstream>

extern char** environ;

namespace amberswitch::lab {

namespace {

struct Figure {
    const char* name;
    double value;
};

std::vector<Figure> figuresOf(const Result& r) {
    return {{"ready_s", r.ready},
            {"whole_lists_each", r.wholeEach},
            {"whole_lists_after", static_cast<double>(r.wholeAfter)},
            {"list_calls", static_cast<double>(r.listCalls)},
            {"turned_away", r.turnedAway},
            {"over_pace", r.overPace},
            {"served_share", r.servedShare},
            {"falls", static_cast<double>(r.falls)},
            {"most_descriptors", static_cast<double>(r.descriptors)},
            {"most_memory_kb", static_cast<double>(r.memoryKb)},
            {"most_connections", static_cast<double>(r.connections)},
            {"wrong", static_cast<double>(r.wrongCount)}};
}

std::string quoted(const std::string& text) {
    std::string out = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') out += '\\';
        out += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    }
    return out + '"';
}

std::string escaped(const std::string& text) {
    std::string out;
    for (const char c : text) out += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
    return out;
}

std::string number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", value);
    return text;
}

bool runs(const char* program, const std::string& argument) {
    std::string name(program), given(argument);
    char* const arguments[] = {name.data(), given.data(), nullptr};
    pid_t child = -1;
    if (::posix_spawnp(&child, program, nullptr, nullptr, arguments, environ) != 0) return false;
    int status = 0;
    return ::waitpid(child, &status, 0) == child && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

struct Plot {
    const char *file, *title, *label;
    std::vector<Count> of;
};

const std::vector<Plot>& plots() {
    static const std::vector<Plot> kPlots{
        {"calls",
         "Calls to the list service",
         "calls a second",
         {Count::listCalls, Count::wholeLists, Count::turnedAway}},
        {"connections",
         "New connections and probes",
         "a second",
         {Count::serverConnections, Count::listConnections, Count::handshakes, Count::probes}},
        {"answers", "Answers", "a second", {Count::tasks, Count::served, Count::refused, Count::failed}},
    };
    return kPlots;
}

}  // namespace

std::string table(const Result& result) {
    std::ostringstream out;
    out << result.name << ": " << result.dispatchers << " dispatchers, seed " << result.seed << ", "
        << result.seconds.size() << " s\n";
    for (const Figure& one : figuresOf(result)) {
        char line[80];
        std::snprintf(line, sizeof line, "  %-18s %12s\n", one.name, number(one.value).c_str());
        out << line;
    }
    out << "  second: list calls / whole / turned away | attempts served refused failed | new connections | "
           "ready\n";
    std::uint64_t ready = 0;
    for (std::size_t i = 0; i < result.seconds.size(); ++i) {
        const auto of = [&](Count what) { return result.seconds[i][static_cast<std::size_t>(what)]; };
        ready += of(Count::ready);
        char line[160];
        std::snprintf(line, sizeof line, "  %4zu: %5u /%5u /%5u | %5u %5u %5u %5u | %5u | %4llu\n", i,
                      of(Count::listCalls), of(Count::wholeLists), of(Count::turnedAway), of(Count::attempts),
                      of(Count::served), of(Count::refused), of(Count::failed), of(Count::serverConnections),
                      static_cast<unsigned long long>(ready));
        out << line;
    }
    for (const Mark& mark : result.marks) out << "  at " << number(mark.at) << " s: " << mark.what << '\n';
    for (const std::string& wrong : result.wrongs) out << "  WRONG " << wrong << '\n';
    out << (result.good() ? "  good\n" : "  " + std::to_string(result.wrongCount) + " wrong\n");
    return out.str();
}

std::string json(const Result& result) {
    std::string out = "{\"name\":" + quoted(result.name) + ",\"seed\":" + std::to_string(result.seed) +
                      ",\"dispatchers\":" + std::to_string(result.dispatchers);
    for (const Figure& one : figuresOf(result))
        out += ",\"" + std::string(one.name) + "\":" + number(one.value);
    out += ",\"wrongs\":[";
    for (std::size_t i = 0; i < result.wrongs.size(); ++i) out += (i ? "," : "") + quoted(result.wrongs[i]);
    return out + "]}\n";
}

void writeReport(const Result& result, const std::string& folder) {
    std::ofstream(folder + "/result.json") << json(result);
    std::ofstream seconds(folder + "/seconds.tsv");
    seconds << "second";
    for (std::size_t c = 0; c < kCounts; ++c) seconds << '\t' << nameOf(static_cast<Count>(c));
    seconds << '\n';
    for (std::size_t i = 0; i < result.seconds.size(); ++i) {
        seconds << i;
        for (const auto count : result.seconds[i]) seconds << '\t' << count;
        seconds << '\n';
    }
    seconds.close();
    std::ofstream page(folder + "/report.html");
    page << "<!doctype html><meta charset=\"utf-8\"><title>" << escaped(result.name)
         << "</title><style>body{font-family:sans-serif;max-width:70em;margin:2em auto}</style>\n<h1>"
         << escaped(result.name) << "</h1>\n";
    for (const Plot& plot : plots()) {
        const std::string base = folder + "/" + plot.file;
        std::ofstream script(base + ".gp");
        script << "set terminal svg size 1000,300 dynamic background '#ffffff'\nset output '" << base
               << ".svg'\nset title '" << plot.title << "'\nset xlabel 's'\nset ylabel '" << plot.label
               << "'\nset key outside\nset grid\nset yrange [0:*]\n";
        int label = 0;
        for (const Mark& mark : result.marks)
            script << "set arrow from " << mark.at << ",graph 0 to " << mark.at
                   << ",graph 1 nohead dashtype 2 lc rgb '#999999'\nset label \"" << mark.what << "\" at "
                   << mark.at << ",graph " << 0.96 - 0.08 * (label++ % 4) << " font ',9' noenhanced\n";
        script << "plot ";
        for (std::size_t i = 0; i < plot.of.size(); ++i)
            script << (i ? ", " : "") << '\'' << folder
                   << "/seconds.tsv' using 1:" << static_cast<std::size_t>(plot.of[i]) + 2
                   << " with lines lw 2 title \"" << nameOf(plot.of[i]) << "\" noenhanced";
        script << '\n';
        script.close();
        if (!runs("gnuplot", base + ".gp")) {
            page << "<p>No plot of " << plot.title << ": gnuplot could not be run.</p>\n";
            continue;
        }
        std::ifstream drawn(base + ".svg");
        std::string line;
        while (std::getline(drawn, line))
            if (line.rfind("<?xml", 0) != 0 && line.rfind("<!DOCTYPE", 0) != 0 &&
                line.rfind(" \"http", 0) != 0)
                page << line << '\n';
    }
    page << "<pre>" << escaped(table(result)) << "</pre>\n";
}

std::string compared(const std::vector<Result>& a, const std::vector<Result>& b) {
    std::ostringstream out;
    const std::size_t n = std::min(a.size(), b.size());
    out << n << " pairs; B against A, with the 95 % interval of the mean difference\n";
    const std::size_t figures = n ? figuresOf(a[0]).size() : 0;
    for (std::size_t f = 0; f < figures; ++f) {
        double sumA = 0, sumB = 0, square = 0;
        for (std::size_t i = 0; i < n; ++i)
            sumA += figuresOf(a[i])[f].value, sumB += figuresOf(b[i])[f].value;
        const double pairs = static_cast<double>(n), mean = (sumB - sumA) / pairs;
        for (std::size_t i = 0; i < n; ++i)
            square += std::pow(figuresOf(b[i])[f].value - figuresOf(a[i])[f].value - mean, 2);
        std::string interval = "one pair: no interval";
        if (n > 1) {
            const boost::math::students_t spread(pairs - 1);
            const double half = boost::math::quantile(boost::math::complement(spread, 0.025)) *
                                std::sqrt(square / (pairs - 1) / pairs);
            interval = number(mean - half) + " to " + number(mean + half);
        }
        char line[200];
        std::snprintf(line, sizeof line, "  %-18s A %10s  B %10s  difference %10s  (%s)\n",
                      figuresOf(a[0])[f].name, number(sumA / pairs).c_str(), number(sumB / pairs).c_str(),
                      number(mean).c_str(), interval.c_str());
        out << line;
    }
    return out.str();
}

}  // namespace amberswitch::lab
