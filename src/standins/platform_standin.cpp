// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "standins/platform_standin.h"

#include "portpaddle/base/digest.h"
#include "portpaddle/platform/platform_codec.h"

#include <httplib.h>

namespace Portpaddle {

namespace {

constexpr std::size_t platformThreads = 512;
constexpr std::size_t maxBodyBytes = 4 * 1024 * 1024;

nlohmann::json errorReply(const Error &error)
{
    return { { "error", toJson(error) } };
}

nlohmann::json valuesReply(const Result<std::vector<KeyValue>> &result)
{
    if (!isOk(result)) {
        return errorReply(errorOf(result));
    }
    nlohmann::json values = nlohmann::json::array();
    for (const KeyValue &value : valueOf(result)) {
        values.push_back(toJson(value));
    }
    return { { "values", values } };
}

nlohmann::json statusReply(const Status &status)
{
    return isOk(status) ? nlohmann::json::object() : errorReply(errorOf(status));
}

std::uint64_t numberField(const nlohmann::json &json, const char *name)
{
    return json.value(name, std::uint64_t{ 0 });
}

} // namespace

PlatformStandIn::PlatformStandIn(const Clock &clock)
    : platform_(clock)
    , server_("platform", HttpServerLimits{ .maximumThreads = platformThreads, .maximumBodyBytes = maxBodyBytes })
{
    addRoutes();
}

Result<SocketAddress> PlatformStandIn::start(const SocketAddress &address)
{
    return server_.start(address);
}

void PlatformStandIn::stop()
{
    platform_.setFaults(PlatformFaults{ .down = true });
    server_.stop();
}

MemoryPlatform &PlatformStandIn::platform()
{
    return platform_;
}

void PlatformStandIn::addRoutes()
{
    addOperation("/platform/get", [this](const nlohmann::json &arguments) -> nlohmann::json {
        const Result<std::optional<KeyValue>> found = platform_.get(arguments.value("key", ""));
        if (!isOk(found)) {
            return errorReply(errorOf(found));
        }
        return valueOf(found) ? nlohmann::json{ { "found", toJson(*valueOf(found)) } } : nlohmann::json::object();
    });
    addOperation("/platform/put", [this](const nlohmann::json &arguments) -> nlohmann::json {
        const Result<std::uint64_t> written = platform_.put(arguments.value("key", ""), arguments.value("value", ""),
                                                            numberField(arguments, "expected"), numberField(arguments, "lease"));
        return isOk(written) ? nlohmann::json{ { "revision", valueOf(written) } } : errorReply(errorOf(written));
    });
    addOperation("/platform/remove", [this](const nlohmann::json &arguments) {
        return statusReply(platform_.remove(arguments.value("key", ""), numberField(arguments, "expected")));
    });
    addOperation("/platform/list", [this](const nlohmann::json &arguments) {
        return valuesReply(
            platform_.list(arguments.value("prefix", ""), arguments.value("after", ""), numberField(arguments, "limit")));
    });
    addOperation("/platform/watch", [this](const nlohmann::json &arguments) {
        return valuesReply(platform_.watch(arguments.value("prefix", ""), numberField(arguments, "after_revision"),
                                           Millis{ numberField(arguments, "timeout_ms") }));
    });
    addOperation("/platform/lease_grant", [this](const nlohmann::json &arguments) -> nlohmann::json {
        const Result<LeaseGrant> granted = platform_.grantLease(Millis{ numberField(arguments, "ttl_ms") });
        return isOk(granted) ? nlohmann::json{ { "lease", valueOf(granted).id } } : errorReply(errorOf(granted));
    });
    addOperation("/platform/lease_keep_alive", [this](const nlohmann::json &arguments) {
        return statusReply(platform_.keepAlive(numberField(arguments, "lease")));
    });
    addOperation("/platform/vms", [this](const nlohmann::json &) -> nlohmann::json {
        const Result<std::vector<VmEntry>> listed = platform_.vms();
        if (!isOk(listed)) {
            return errorReply(errorOf(listed));
        }
        nlohmann::json vms = nlohmann::json::array();
        for (const VmEntry &entry : valueOf(listed)) {
            vms.push_back(toJson(entry));
        }
        return { { "vms", vms } };
    });
    addOperation("/platform/client", [this](const nlohmann::json &arguments) -> nlohmann::json {
        const Result<std::optional<ClientRecord>> found = platform_.find(arguments.value("digest", ""));
        if (!isOk(found)) {
            return errorReply(errorOf(found));
        }
        return { { "organisation", valueOf(found) ? valueOf(found)->organisation : "" } };
    });
    addOperation("/control/faults", [this](const nlohmann::json &arguments) {
        platform_.setFaults(PlatformFaults{ arguments.value("down", false), arguments.value("loses_replies", false) });
        return nlohmann::json::object();
    });
    addOperation("/control/vm", [this](const nlohmann::json &arguments) {
        platform_.setVm(vmFromJson(arguments));
        return nlohmann::json::object();
    });
    addOperation("/control/client", [this](const nlohmann::json &arguments) {
        platform_.setClient(sha256Hex(arguments.value("key", "")), arguments.value("organisation", ""));
        return nlohmann::json::object();
    });
}

void PlatformStandIn::addOperation(const std::string &name, Operation operation)
{
    server_.routes().Post(name, [operation = std::move(operation)](const httplib::Request &request, httplib::Response &response) {
        const nlohmann::json arguments = nlohmann::json::parse(request.body, nullptr, false);
        if (!arguments.is_object()) {
            response.status = 400;
            return;
        }
        response.set_content(operation(arguments).dump(), "application/json");
    });
}

} // namespace Portpaddle
