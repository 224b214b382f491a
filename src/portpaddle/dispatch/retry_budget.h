// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Bounds retries to a share of the requests so that failures do not multiply load.
#pragma once

#include <mutex>

namespace Portpaddle {

/// Each request earns a part of a retry; each retry spends a whole one.
class RetryBudget
{
public:
    void earn(double percent);
    /// False when the budget is spent: the request has to fail instead.
    bool spend();

private:
    std::mutex mutex_;
    double available_ = 10;
};

} // namespace Portpaddle
