// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// HTTP client of the platform's services.
#pragma once

#include "portpaddle/base/socket_address.h"
#include "portpaddle/interfaces/platform.h"

#include <nlohmann/json_fwd.hpp>

namespace Portpaddle {

/// Sends each call as exactly one HTTP request, so that the client and the platform count the same number of calls.
class HttpPlatform : public Platform
{
public:
    explicit HttpPlatform(SocketAddress address, Millis timeout = Millis{ 2'000 });

    Result<std::optional<KeyValue>> get(const std::string &key) override;
    Result<std::uint64_t> put(const std::string &key, const std::string &value, std::uint64_t expectedRevision,
                              std::uint64_t lease) override;
    Status remove(const std::string &key, std::uint64_t expectedRevision) override;
    Result<std::vector<KeyValue>> list(const std::string &prefix, const std::string &after, std::size_t limit) override;
    Result<std::vector<KeyValue>> watch(const std::string &prefix, std::uint64_t afterRevision, Millis timeout) override;
    Result<LeaseGrant> grantLease(Millis timeToLive) override;
    Status keepAlive(std::uint64_t lease) override;
    Result<std::vector<VmEntry>> vms() override;
    Result<std::optional<ClientRecord>> find(const std::string &keyDigest) override;

private:
    Result<nlohmann::json> call(const std::string &operation, const nlohmann::json &arguments, Millis timeout) const;
    Result<std::vector<KeyValue>> callForValues(const std::string &operation, const nlohmann::json &arguments,
                                                Millis timeout) const;

    const SocketAddress address_;
    const Millis timeout_;
};

} // namespace Portpaddle
