#!/usr/bin/env python3
"""Writes four sites whose dispatchers or stores stand far from each other: make_far_sites.py SITE FOLDER.

SITE has several regions, its days are kept. dispatchers-away.toml moves the dispatchers of the first region to the
second: the stores of the first have none near; dispatchers-together.toml moves all of them there. stores-together.toml moves all stores to the second region.
one-dispatcher.toml leaves one dispatcher a region, with as little traffic as those can take."""

import re
import shutil
import sys
from pathlib import Path

FEW_DISPATCHERS_TRAFFIC = 0.06


class Site:
    def __init__(self, path):
        self.lines = path.read_text().splitlines()
        first_day = self.lines.index("[[day]]")
        self.settings, self.days = self.lines[:first_day], self.lines[first_day:]
        self.region_of = dict(re.findall(r'name = "([^"]+)", region = "([^"]+)"', "\n".join(self.settings)))
        self.regions = list(dict.fromkeys(self.region_of.values()))

    def zones(self, region):
        return [zone for zone, of in self.region_of.items() if of == region]


def zone_of(line):
    return re.search(r'zone = "([^"]+)"', line)[1]


def with_zone(line, zone):
    return re.sub(r'zone = "[^"]+"', f'zone = "{zone}"', line)


def moved(site, machine_class, regions):
    """The machines of that class in `regions` stand in the second region, zone by zone."""
    targets = site.zones(site.regions[1])
    counts, lines = {}, []
    for line in site.settings:
        if f'class = "{machine_class}"' not in line:
            lines.append(line)
            continue
        zone = zone_of(line)
        if site.region_of[zone] in regions:
            place = site.zones(site.region_of[zone]).index(zone)
            line = with_zone(line, targets[place % len(targets)])
        here = zone_of(line)
        count = int(re.search(r"count = (\d+)", line)[1])
        if here in counts:
            at, before = counts[here]
            count += before
            lines[at] = re.sub(r"count = \d+", f"count = {count}", lines[at])
        else:
            at = len(lines)
            lines.append(line)
        counts[here] = (at, count)
    return lines + site.days


def one_dispatcher(site):
    kept, lines = set(), []
    for line in site.settings:
        if 'class = "front"' in line:
            region = site.region_of[zone_of(line)]
            if region in kept:
                continue
            kept.add(region)
            line = re.sub(r"count = \d+", "count = 1", line)
        lines.append(line)
    return [less_traffic(line) for line in lines + site.days]


def less_traffic(line):
    if " clients = " not in line:
        return line
    share = FEW_DISPATCHERS_TRAFFIC
    line = re.sub(r"per_s = ([0-9.]+), clients",
                  lambda rate: f"per_s = {float(rate[1]) * share:.1f}, clients", line)
    return re.sub(r"clients = (\d+)", lambda count: f"clients = {max(2, int(int(count[1]) * share))}", line)


def main():
    source, folder = Path(sys.argv[1]), Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    site = Site(source)
    sites = {
        "dispatchers-away": moved(site, "front", {site.regions[0]}),
        "dispatchers-together": moved(site, "front", set(site.regions)),
        "stores-together": moved(site, "store", set(site.regions)),
        "one-dispatcher": one_dispatcher(site),
    }
    for name, lines in sites.items():
        lines = [f'name = "{name}"', *lines[1:]]  # the first line names the site
        (folder / f"{name}.toml").write_text("\n".join(lines) + "\n")
    shutil.copy(source.parent / "wire.json", folder / "wire.json")


if __name__ == "__main__":
    main()
