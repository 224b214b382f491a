// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/platform/platform_codec.h"

namespace Portpaddle {

nlohmann::json toJson(const KeyValue &value)
{
    return { { "key", value.key }, { "value", value.value }, { "revision", value.revision } };
}

KeyValue keyValueFromJson(const nlohmann::json &json)
{
    return KeyValue{ json.value("key", ""), json.value("value", ""), json.value("revision", std::uint64_t{ 0 }) };
}

nlohmann::json toJson(const VmEntry &entry)
{
    return {
        { "id", entry.id }, { "data_centre", entry.dataCentre }, { "gossip", entry.gossipAddress }, { "leaving", entry.leaving }
    };
}

VmEntry vmFromJson(const nlohmann::json &json)
{
    return VmEntry{ json.value("id", ""), json.value("data_centre", ""), json.value("gossip", ""), json.value("leaving", false) };
}

nlohmann::json toJson(const Error &error)
{
    return { { "code", nameOf(error.code) }, { "message", error.message }, { "not_run", error.run == RunState::NotRun } };
}

Error errorFromJson(const nlohmann::json &json)
{
    Error error;
    error.code = errorCodeFromName(json.value("code", ""));
    error.message = json.value("message", "the platform reported an error without a message");
    error.run = json.value("not_run", false) ? RunState::NotRun : RunState::MayHaveRun;
    return error;
}

} // namespace Portpaddle
