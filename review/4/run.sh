#!/bin/sh
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/src/portpaddled ] || { echo "target/src/portpaddled is not built"; exit 2; }
ulimit -c 0  # the daemon of this case ends by an abort
exec python3 "$here/case.py"
