#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Runs one case of review/ on a copy, with the disruption and without it; both runs have to hold.

Usage: review_cases.py PROGRAM CASE, where PROGRAM is the daemon and CASE the name of a folder of review/.
"""
import os
import shutil
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
OUTCOMES = {0: "held", 1: "the rule was broken", 2: "could not be run to its end"}
SHOWN_LINES = 40  # of the record of a run that did not hold
HANG_BOUND = 140  # seconds; the cases end themselves before, and both runs fit into the time of the test


def lay_out(directory, program):
    """Lays out what the scripts expect: a copy of review/, in which they write, beside the daemon and tests/."""
    shutil.copytree(os.path.join(ROOT, "review"), os.path.join(directory, "review"))
    os.symlink(os.path.join(ROOT, "tests"), os.path.join(directory, "tests"))
    os.makedirs(os.path.join(directory, "target", "src"))
    os.symlink(os.path.abspath(program), os.path.join(directory, "target", "src", "portpaddled"))


def print_record(path):
    """Prints the end of the record at @p path; a case that ends before it begins writes none."""
    if not os.path.exists(path):
        print("it wrote no record", flush=True)
        return
    with open(path) as record:
        print("".join(record.readlines()[-SHOWN_LINES:]), flush=True)


def run(directory, case, trouble):
    """Runs the case once; returns whether it held, and prints the end of its record otherwise."""
    folder = os.path.join(directory, "review", case)
    environment = {**os.environ, "TROUBLE": "1" if trouble else "0", "PYTHONDONTWRITEBYTECODE": "1"}
    status = subprocess.run(["sh", os.path.join(folder, "run.sh")], env=environment, timeout=HANG_BOUND).returncode
    outcome = OUTCOMES.get(status, f"ended with status {status}")
    print(f"case {case}, {'with' if trouble else 'without'} the disruption: {outcome}", flush=True)
    if status != 0:
        print_record(os.path.join(folder, "record.txt"))
    return status == 0


def main():
    program, case = sys.argv[1:]
    with tempfile.TemporaryDirectory(prefix="portpaddle-review-") as directory:
        lay_out(directory, program)
        held = [run(directory, case, trouble) for trouble in (True, False)]
    sys.exit(0 if all(held) else 1)


if __name__ == "__main__":
    main()
