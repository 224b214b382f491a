#!/bin/sh
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
command -v python3 > /dev/null || { echo "python3 is missing"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 exec python3 "$folder/case_drain.py" "$folder"
