// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "ctl/admin_client.h"

#include "portpaddle/base/json_text.h"
#include "portpaddle/net/checked_client.h"

#include <fmt/format.h>

namespace Portpaddle {

namespace {

constexpr Millis connectTimeout{ 2'000 };
constexpr Millis readTimeout{ 15'000 };

Result<nlohmann::json> parseReply(const httplib::Result &reply, const SocketAddress &address)
{
    if (!reply) {
        return Error{ ErrorCode::PeerUnreachable,
                      fmt::format("the VM at {} cannot be reached ({}); try another daemon listed by 'portpaddlectl members'",
                                  toText(address), httplib::to_string(reply.error())),
                      RunState::MayHaveRun, std::nullopt };
    }
    nlohmann::json json = parseJson(reply->body);
    if (reply->status == 200 && !json.is_discarded()) {
        return json;
    }
    const bool hasErrorObject = json.is_object() && json.contains("error") && json["error"].is_object();
    const nlohmann::json error = hasErrorObject ? json["error"] : nlohmann::json::object();
    return Error{ errorCodeFromName(error.value("code", "internal")),
                  error.value("message", fmt::format("the daemon answered with status {}", reply->status)), RunState::NotRun,
                  std::nullopt };
}

} // namespace

AdminClient::AdminClient(SocketAddress address, std::string operatorKey)
    : address_(std::move(address)), operatorKey_(std::move(operatorKey))
{
}

Result<nlohmann::json> AdminClient::get(const std::string &path, const std::multimap<std::string, std::string> &parameters) const
{
    CheckedClient client(address_.host, address_.port);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(readTimeout);
    client.set_bearer_token_auth(operatorKey_);
    return parseReply(client.Get(path, parameters, httplib::Headers{}), address_);
}

Result<nlohmann::json> AdminClient::post(const std::string &path, const nlohmann::json &body) const
{
    CheckedClient client(address_.host, address_.port);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(readTimeout);
    client.set_bearer_token_auth(operatorKey_);
    return parseReply(client.Post(path, body.dump(), "application/json"), address_);
}

} // namespace Portpaddle
