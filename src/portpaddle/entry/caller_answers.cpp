// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/entry/caller_answers.h"

#include "portpaddle/base/text.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

constexpr std::size_t maxAnswerBytes = 16 * 1024 * 1024;
constexpr const char *defaultContentType = "application/octet-stream";

} // namespace

bool BufferedAnswer::head(const AnswerHead &head)
{
    head_ = head;
    body_.clear();
    return true;
}

bool BufferedAnswer::data(std::string_view bytes)
{
    tooLarge_ = body_.size() + bytes.size() > maxAnswerBytes;
    if (!tooLarge_) {
        body_.append(bytes);
    }
    return !tooLarge_;
}

bool BufferedAnswer::receiverGone() const
{
    return tooLarge_;
}

void BufferedAnswer::onReceiverGone(std::function<void()>)
{
    // This receiver exists as long as the request, so the hook is never needed.
}

bool BufferedAnswer::tooLarge() const
{
    return tooLarge_;
}

void BufferedAnswer::writeTo(httplib::Response &response) const
{
    response.status = head_.status;
    const std::string type = writeHeaders(head_, response);
    response.set_content(body_, type);
}

std::string writeHeaders(const AnswerHead &head, httplib::Response &response)
{
    std::string type = defaultContentType;
    for (const HeaderField &field : head.headers) {
        if (lowerCase(field.name) == "content-type") {
            type = field.value;
        } else if (lowerCase(field.name) != "x-request-id") {
            response.set_header(field.name, field.value);
        }
    }
    return type;
}

void writeError(const Error &error, const std::string &requestId, httplib::Response &response)
{
    response.status = httpStatusOf(error.code);
    nlohmann::json json = { { "code", nameOf(error.code) },
                            { "type", response.status < 500 ? "invalid_request_error" : "server_error" },
                            { "message", error.message },
                            { "request_id", requestId },
                            { "run", nameOf(error.run) } };
    if (error.retryAfter) {
        const auto seconds = (error.retryAfter->count() + 999) / 1000;
        response.set_header("Retry-After", std::to_string(seconds));
        json["retry_after_ms"] = error.retryAfter->count();
    }
    const nlohmann::json wrapped = { { "error", json } };
    response.set_content(wrapped.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

} // namespace Portpaddle
