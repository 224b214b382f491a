// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Options of every TCP connection, so that a silent peer is noticed.
#pragma once

namespace Portpaddle {

/// Sets no delay, short keep-alive probes and a bound on unacknowledged data; failures are ignored, the connection still works.
void applySocketOptions(int descriptor);

} // namespace Portpaddle
