#!/bin/sh
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
# Builds what the scripts of the cases start besides the daemon, which the build of the deploy file makes. The stand-ins are
# Python files that use Python's own library only, so all there is to do is to check that they compile.
set -eu
cd "$(dirname "$0")"
for file in standins/*.py [0-9]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins are ready"
