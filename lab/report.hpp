// What a run came to: a table, and a page with plots.
#pragma once

#include "lab/rig.hpp"

namespace amberswitch::lab {

std::string table(const Result& result);
std::string json(const Result& result);
// Writes result.json, seconds.tsv and report.html into the folder. The plots are gnuplot's; without it, or
// where it fails, the page says so and holds the table alone.
void writeReport(const Result& result, const std::string& folder);

// Two builds over the same scripts and seeds: of each figure the mean difference with its 95 % interval.
std::string compared(const std::vector<Result>& a, const std::vector<Result>& b);

}  // namespace amberswitch::lab
