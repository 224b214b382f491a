// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/platform/counting_platform.h"

#include "portpaddle/base/metrics.h"

namespace Portpaddle {

CountingPlatform::CountingPlatform(Platform &platform, Metrics &metrics) : platform_(platform), metrics_(metrics)
{
}

Result<std::optional<KeyValue>> CountingPlatform::get(const std::string &key)
{
    return read().get(key);
}

Result<std::uint64_t> CountingPlatform::put(const std::string &key, const std::string &value, std::uint64_t expectedRevision,
                                            std::uint64_t lease)
{
    return written().put(key, value, expectedRevision, lease);
}

Status CountingPlatform::remove(const std::string &key, std::uint64_t expectedRevision)
{
    return written().remove(key, expectedRevision);
}

Result<std::vector<KeyValue>> CountingPlatform::list(const std::string &prefix, const std::string &after, std::size_t limit)
{
    return read().list(prefix, after, limit);
}

Result<std::vector<KeyValue>> CountingPlatform::watch(const std::string &prefix, std::uint64_t afterRevision, Millis timeout)
{
    return watched().watch(prefix, afterRevision, timeout);
}

Result<LeaseGrant> CountingPlatform::grantLease(Millis timeToLive)
{
    return written().grantLease(timeToLive);
}

Status CountingPlatform::keepAlive(std::uint64_t lease)
{
    return written().keepAlive(lease);
}

Result<std::vector<VmEntry>> CountingPlatform::vms()
{
    return read().vms();
}

Result<std::optional<ClientRecord>> CountingPlatform::find(const std::string &keyDigest)
{
    return read().find(keyDigest);
}

Platform &CountingPlatform::read()
{
    metrics_.count(Counter::PlatformReads);
    return platform_;
}

Platform &CountingPlatform::written()
{
    metrics_.count(Counter::PlatformWrites);
    return platform_;
}

Platform &CountingPlatform::watched()
{
    metrics_.count(Counter::PlatformWatches);
    return platform_;
}

} // namespace Portpaddle
