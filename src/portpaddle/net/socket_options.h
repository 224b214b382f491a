// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Options set on every TCP connection, so that an unreachable peer is detected.
#pragma once

namespace Portpaddle {

/// Disables Nagle's algorithm, enables frequent keep-alive probes and limits how long sent data may stay unacknowledged. Ignores
/// errors, since the connection works without the options.
void applySocketOptions(int descriptor);

} // namespace Portpaddle
