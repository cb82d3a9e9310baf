#!/usr/bin/env python3
"""Runs the score, hunt and replay commands of fleetbench on site files and lists broken rules.

    FLEETBENCH=path/to/fleetbench deploy/play_days.py --days 40 SITE...
    FLEETBENCH=path/to/fleetbench deploy/play_days.py --table journal/*.json

A play is one run of fleetbench on a site file. After the score and the hunt, each day of the hunt on
which a rule was broken is replayed by its name. The output of each play goes to target/days/. The table
has one row per day and rule broken on it or fault, with the name and seed for replaying the day, and
one row per play that failed or in which no rule was broken.
"""

import argparse
import json
import os
import pathlib
import subprocess
import sys

OUTPUT = pathlib.Path("target/days")
JOURNAL = pathlib.Path("journal")


def rows(entry):
    """Yields the rows of one journal entry: site, play, rule, count, day, seed, state."""
    site = entry.get("site") or "?"
    play = entry["cmd"]
    days = entry.get("days") or []
    if entry.get("error"):
        yield site, play, "-", "-", "-", "-", f"failed: {entry['error']}"
        return
    broken = [day for day in days if day.get("rules") or day.get("fault")]
    if not broken:
        yield site, play, "-", 0, f"{len(days)} days", "-", "kept"
    for day in broken:
        name, seed = day["name"], day.get("seed") or "-"
        if day.get("fault"):
            yield site, play, "fault", 1, name, seed, str(day["fault"])
        for rule, count in (day.get("rules") or {}).items():
            yield site, play, rule, count, name, seed, "broken"


def table(entries):
    """Prints the rows of the entries and returns whether no play failed and no rule was broken."""
    head = ("site", "play", "rule", "count", "day", "seed", "state")
    lines = [head, *(row for entry in entries for row in rows(entry))]
    widths = [max(len(str(line[column])) for line in lines) for column in range(len(head))]
    for line in lines:
        print("  ".join(str(cell).ljust(width) for cell, width in zip(line, widths)).rstrip())
    return all(line[-1] == "kept" for line in lines[1:])


def play(bench, name, arguments):
    """Runs fleetbench with its output in a file and returns the journal entries that it added."""
    before = set(JOURNAL.glob("*.json"))
    OUTPUT.mkdir(parents=True, exist_ok=True)
    path = OUTPUT / f"{name}.txt"
    with path.open("w") as output:
        code = subprocess.run([bench, *arguments], stdout=output, stderr=output).returncode
    added = sorted(set(JOURNAL.glob("*.json")) - before)
    if not added:
        print(f"{name}: exit code {code} and no journal entry; see {path}", file=sys.stderr)
    return added


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--days", type=int, default=40, help="number of days in a hunt")
    parser.add_argument("--jobs", type=int, default=4, help="CPU cores that fleetbench uses")
    parser.add_argument("--why", default="score, hunt and replays", help="reason for the journal entry")
    parser.add_argument("--table", action="store_true", help="only print journal entries")
    parser.add_argument("files", nargs="+", metavar="SITE", help="site files or journal entries")
    options = parser.parse_args()
    entries = [pathlib.Path(file) for file in options.files] if options.table else []
    if not options.table:
        bench = os.environ.get("FLEETBENCH")
        if not bench:
            parser.error("set FLEETBENCH to the path of fleetbench")
        common = ["--jobs", str(options.jobs), "--why", options.why]
        for site in options.files:
            name = pathlib.Path(site).stem
            entries += play(bench, f"{name}-score", ["score", site, *common])
            hunted = play(bench, f"{name}-hunt", ["hunt", site, "--days", str(options.days), *common])
            entries += hunted
            broken = [row for entry in hunted for row in rows(json.loads(entry.read_text()))]
            for day in sorted({row[4] for row in broken if row[-1] == "broken"}):
                entries += play(bench, f"{name}-{day}", ["replay", site, day, *common])
    kept = table(json.loads(entry.read_text()) for entry in entries)
    sys.exit(0 if kept and entries else 1)


if __name__ == "__main__":
    main()
