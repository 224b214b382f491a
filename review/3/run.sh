#!/bin/sh
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Writes what was sent, answered and run to record.txt in this folder.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
record="$folder/record.txt"
command -v python3 > /dev/null || { echo "the case could not run: python3 is missing" | tee "$record"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec python3 "$folder/case_mixed.py" "$record"
