// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Limits retries to a share of the requests, so that failures do not multiply the load.
#pragma once

#include <mutex>

namespace Portpaddle {

/// Each request adds a fraction of a retry to the budget; each retry takes one from it. Thread-safe.
class RetryBudget
{
public:
    void addCredit(double percent);
    /// Takes one retry. Returns false if less than one is left; the request then has to fail.
    bool takeRetry();

private:
    std::mutex mutex_;
    double available_ = 10;
};

} // namespace Portpaddle
