// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A key-value store to which keys are written that last as long as a lease is kept.
#pragma once

#include "portpaddle/interfaces/platform.h"

#include <cstdint>
#include <string>

namespace Portpaddle {

/// Calls block; each is safe from any thread.
class LeasedStore
{
public:
    virtual ~LeasedStore() = default;
    virtual Result<LeaseGrant> grantLease(Millis timeToLive) = 0;
    /// NotFound when the lease is over.
    virtual Status keepLease(std::uint64_t lease) = 0;
    virtual Status revokeLease(std::uint64_t lease) = 0;
    /// Writes whatever the key holds.
    virtual Result<std::uint64_t> write(const std::string &key, const std::string &value, std::uint64_t lease) = 0;
};

} // namespace Portpaddle
