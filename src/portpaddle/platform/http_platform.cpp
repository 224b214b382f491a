// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/platform/http_platform.h"

#include "portpaddle/base/json_text.h"
#include "portpaddle/net/checked_client.h"
#include "portpaddle/platform/platform_codec.h"

namespace Portpaddle {

namespace {

constexpr Millis connectTimeout{ 1'000 };
constexpr Millis retryAfter{ 1'000 };

Error unavailable(RunState run)
{
    return Error{ ErrorCode::PlatformUnavailable, "no valid answer from the platform", run, retryAfter };
}

} // namespace

HttpPlatform::HttpPlatform(SocketAddress address, Millis timeout) : address_(std::move(address)), timeout_(timeout)
{
}

Result<std::optional<KeyValue>> HttpPlatform::get(const std::string &key)
{
    const Result<nlohmann::json> reply = call("get", { { "key", key } }, timeout_);
    if (!isOk(reply)) {
        return errorOf(reply);
    }
    const nlohmann::json &json = valueOf(reply);
    return json.contains("found") ? std::optional{ keyValueFromJson(json["found"]) } : std::optional<KeyValue>{};
}

Result<std::uint64_t> HttpPlatform::put(const std::string &key, const std::string &value, std::uint64_t expectedRevision,
                                        std::uint64_t lease)
{
    const nlohmann::json arguments = { { "key", key }, { "value", value }, { "expected", expectedRevision }, { "lease", lease } };
    const Result<nlohmann::json> reply = call("put", arguments, timeout_);
    if (!isOk(reply)) {
        return errorOf(reply);
    }
    return valueOf(reply).value("revision", std::uint64_t{ 0 });
}

Status HttpPlatform::remove(const std::string &key, std::uint64_t expectedRevision)
{
    const Result<nlohmann::json> reply = call("remove", { { "key", key }, { "expected", expectedRevision } }, timeout_);
    return isOk(reply) ? success() : Status(errorOf(reply));
}

Result<std::vector<KeyValue>> HttpPlatform::list(const std::string &prefix, const std::string &after, std::size_t limit)
{
    return callForValues("list", { { "prefix", prefix }, { "after", after }, { "limit", limit } }, timeout_);
}

Result<std::vector<KeyValue>> HttpPlatform::watch(const std::string &prefix, std::uint64_t afterRevision, Millis timeout)
{
    const nlohmann::json arguments
        = { { "prefix", prefix }, { "after_revision", afterRevision }, { "timeout_ms", timeout.count() } };
    return callForValues("watch", arguments, timeout + timeout_);
}

Result<LeaseGrant> HttpPlatform::grantLease(Millis timeToLive)
{
    const Result<nlohmann::json> reply = call("lease_grant", { { "ttl_ms", timeToLive.count() } }, timeout_);
    if (!isOk(reply)) {
        return errorOf(reply);
    }
    return LeaseGrant{ valueOf(reply).value("lease", std::uint64_t{ 0 }), timeToLive };
}

Status HttpPlatform::keepAlive(std::uint64_t lease)
{
    const Result<nlohmann::json> reply = call("lease_keep_alive", { { "lease", lease } }, timeout_);
    return isOk(reply) ? success() : Status(errorOf(reply));
}

Result<std::vector<VmEntry>> HttpPlatform::vms()
{
    const Result<nlohmann::json> reply = call("vms", nlohmann::json::object(), timeout_);
    if (!isOk(reply)) {
        return errorOf(reply);
    }
    std::vector<VmEntry> entries;
    for (const nlohmann::json &entry : valueOf(reply).value("vms", nlohmann::json::array())) {
        entries.push_back(vmFromJson(entry));
    }
    return entries;
}

Result<std::optional<ClientRecord>> HttpPlatform::find(const std::string &keyDigest)
{
    const Result<nlohmann::json> reply = call("client", { { "digest", keyDigest } }, timeout_);
    if (!isOk(reply)) {
        return errorOf(reply);
    }
    const std::string organisation = valueOf(reply).value("organisation", "");
    return organisation.empty() ? std::optional<ClientRecord>{} : std::optional{ ClientRecord{ organisation } };
}

Result<nlohmann::json> HttpPlatform::call(const std::string &operation, const nlohmann::json &arguments, Millis timeout) const
{
    CheckedClient client(address_.host, address_.port);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout_);
    client.set_tcp_nodelay(true);
    const std::string body = arguments.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const httplib::Result reply = client.Post("/platform/" + operation, body, "application/json");
    if (!reply) {
        const bool neverSent = reply.error() == httplib::Error::Connection || reply.error() == httplib::Error::ConnectionTimeout;
        return unavailable(neverSent ? RunState::NotRun : RunState::MayHaveRun);
    }
    nlohmann::json json = parseJson(reply->body);
    if (!json.is_object()) {
        return unavailable(RunState::MayHaveRun);
    }
    if (json.contains("error")) {
        return errorFromJson(json["error"]);
    }
    return json;
}

Result<std::vector<KeyValue>> HttpPlatform::callForValues(const std::string &operation, const nlohmann::json &arguments,
                                                          Millis timeout) const
{
    const Result<nlohmann::json> reply = call(operation, arguments, timeout);
    if (!isOk(reply)) {
        return errorOf(reply);
    }
    std::vector<KeyValue> values;
    for (const nlohmann::json &value : valueOf(reply).value("values", nlohmann::json::array())) {
        values.push_back(keyValueFromJson(value));
    }
    return values;
}

} // namespace Portpaddle
