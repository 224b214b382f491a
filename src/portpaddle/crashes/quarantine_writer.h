// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Keeps on the platform which requests are held, so that they stay held when all daemons restart.
#pragma once

#include "portpaddle/base/thread.h"
#include "portpaddle/crashes/quarantine.h"
#include "portpaddle/interfaces/leased_store.h"

#include <atomic>
#include <mutex>
#include <set>
#include <string>

namespace Portpaddle {

/// Where the records of held requests lie; the key ends in the request's fingerprint.
inline constexpr const char *quarantineRecordPrefix = "portpaddle/quarantine/";

/// Runs a thread until it is destroyed. Records lie under leases of their own and go by themselves.
class QuarantineWriter
{
public:
    explicit QuarantineWriter(LeasedStore &store);
    ~QuarantineWriter();

    void start();
    /// Writes @p request as soon as the store takes it; does not wait. Thread-safe.
    void write(const RequestFingerprint &request);

private:
    void run();
    /// False where the store did not take it.
    bool writeNow(const RequestFingerprint &request);

    LeasedStore &store_;
    std::mutex mutex_;
    std::set<RequestFingerprint> waiting_;
    std::atomic<bool> stopping_{ false };
    Thread thread_;
};

} // namespace Portpaddle
