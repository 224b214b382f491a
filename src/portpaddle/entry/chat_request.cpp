// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/entry/chat_request.h"

#include "portpaddle/base/json_text.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

/// Typical length of a token in Latin script, in bytes.
constexpr std::size_t bytesPerToken = 4;
/// Requests whose prompts agree in this many bytes are treated as sharing a prefix.
constexpr std::size_t prefixBytes = 2048;
constexpr unsigned defaultAnswerTokens = 256;
constexpr unsigned maxAnswerTokens = 100'000;

Error badRequest(std::string message)
{
    return Error{ ErrorCode::BadRequest, std::move(message), RunState::NotRun, std::nullopt };
}

/// Appends the text of a message's content, which is a string or a list of parts; returns false if it is neither.
bool appendContent(const nlohmann::json &content, std::string &prompt)
{
    if (content.is_string()) {
        prompt += content.get_ref<const std::string &>();
        return true;
    }
    if (content.is_null()) {
        return true;
    }
    if (!content.is_array()) {
        return false;
    }
    for (const nlohmann::json &part : content) {
        if (!part.is_object()) {
            return false;
        }
        if (part.contains("text") && part["text"].is_string()) {
            prompt += part["text"].get_ref<const std::string &>();
        }
    }
    return true;
}

Result<std::string> promptOf(const nlohmann::json &messages)
{
    std::string prompt;
    for (std::size_t index = 0; index < messages.size(); ++index) {
        const nlohmann::json &message = messages[index];
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
            return badRequest(fmt::format("messages[{}] must be an object with a role", index));
        }
        if (message.contains("content") && !appendContent(message["content"], prompt)) {
            return badRequest(fmt::format("messages[{}].content must be a string or a list of parts", index));
        }
        prompt += '\n';
    }
    return prompt;
}

Result<unsigned> answerTokens(const nlohmann::json &json)
{
    for (const char *name : { "max_completion_tokens", "max_tokens" }) {
        if (!json.contains(name) || json[name].is_null()) {
            continue;
        }
        const bool valid = json[name].is_number_integer() && json[name].get<std::int64_t>() >= 1
            && json[name].get<std::int64_t>() <= maxAnswerTokens;
        if (!valid) {
            return badRequest(fmt::format("{} must be an integer from 1 to {}", name, maxAnswerTokens));
        }
        return json[name].get<unsigned>();
    }
    return defaultAnswerTokens;
}

} // namespace

Result<ChatRequest> parseChatRequest(const std::string &body)
{
    const nlohmann::json json = parseJson(body);
    if (json.is_discarded()) {
        return badRequest("the body is not valid JSON in UTF-8");
    }
    if (!json.is_object()) {
        return badRequest("the body must be an object");
    }
    if (!json.contains("model") || !json["model"].is_string()) {
        return badRequest("model must be a string");
    }
    if (!json.contains("messages") || !json["messages"].is_array() || json["messages"].empty()) {
        return badRequest("messages must be a non-empty list");
    }
    if (json.contains("stream") && !json["stream"].is_boolean() && !json["stream"].is_null()) {
        return badRequest("stream must be true or false");
    }
    const Result<std::string> prompt = promptOf(json["messages"]);
    if (!isOk(prompt)) {
        return errorOf(prompt);
    }
    const Result<unsigned> expected = answerTokens(json);
    if (!isOk(expected)) {
        return errorOf(expected);
    }
    ChatRequest request;
    request.model = json["model"].get<std::string>();
    request.streamed = json.contains("stream") && json["stream"] == true;
    request.promptTokens = static_cast<unsigned>(valueOf(prompt).size() / bytesPerToken + 1);
    request.expectedTokens = valueOf(expected);
    request.prefixHash = stableHash(request.model + '\n' + valueOf(prompt).substr(0, prefixBytes));
    return request;
}

} // namespace Portpaddle
