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
    return countedRead().get(key);
}

Result<std::uint64_t> CountingPlatform::put(const std::string &key, const std::string &value, std::uint64_t expectedRevision,
                                            std::uint64_t lease)
{
    return countedWrite().put(key, value, expectedRevision, lease);
}

Status CountingPlatform::remove(const std::string &key, std::uint64_t expectedRevision)
{
    return countedWrite().remove(key, expectedRevision);
}

Result<std::vector<KeyValue>> CountingPlatform::list(const std::string &prefix, const std::string &after, std::size_t limit)
{
    return countedRead().list(prefix, after, limit);
}

Result<std::vector<KeyValue>> CountingPlatform::watch(const std::string &prefix, std::uint64_t afterRevision, Millis timeout)
{
    return countedWatch().watch(prefix, afterRevision, timeout);
}

Result<LeaseGrant> CountingPlatform::grantLease(Millis timeToLive)
{
    return countedWrite().grantLease(timeToLive);
}

Status CountingPlatform::keepAlive(std::uint64_t lease)
{
    return countedWrite().keepAlive(lease);
}

Result<std::vector<VmEntry>> CountingPlatform::vms()
{
    return countedRead().vms();
}

Result<std::optional<ClientRecord>> CountingPlatform::find(const std::string &keyDigest)
{
    return countedRead().find(keyDigest);
}

Platform &CountingPlatform::countedRead()
{
    metrics_.count(Counter::PlatformReads);
    return platform_;
}

Platform &CountingPlatform::countedWrite()
{
    metrics_.count(Counter::PlatformWrites);
    return platform_;
}

Platform &CountingPlatform::countedWatch()
{
    metrics_.count(Counter::PlatformWatches);
    return platform_;
}

} // namespace Portpaddle
