// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A key-value store in which keys can be bound to a lease: they are removed when the lease ends.
#pragma once

#include "portpaddle/interfaces/platform.h"

#include <cstdint>
#include <string>

namespace Portpaddle {

/// Writes keys under leases. Calls block; they are thread-safe.
class LeasedStore
{
public:
    virtual ~LeasedStore() = default;
    virtual Result<LeaseGrant> grantLease(Millis timeToLive) = 0;
    /// Renews @p lease; NotFound when the lease has ended.
    virtual Status keepLease(std::uint64_t lease) = 0;
    virtual Status revokeLease(std::uint64_t lease) = 0;
    /// Writes @p value unconditionally under @p lease and returns the revision of the write.
    virtual Result<std::uint64_t> write(const std::string &key, const std::string &value, std::uint64_t lease) = 0;
};

} // namespace Portpaddle
