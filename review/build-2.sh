#!/bin/sh
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
# The stand-ins of the cases 4 to 8 are Python files that use the standard library alone; this checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 - standins-2/*.py [4-8]/*.py ../tests/soak/daemons.py ../tests/soak/proxy.py <<'CHECK'
import sys

for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
CHECK
