// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Conversion of answers and errors to HTTP responses for callers.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/interfaces/answer_sink.h"

#include <string>

namespace httplib {
struct Response;
}

namespace Portpaddle {

/// Buffers a complete answer, up to a size limit, before any of it is sent.
class BufferedAnswer : public AnswerSink
{
public:
    bool head(const AnswerHead &head) override;
    bool data(std::string_view bytes) override;
    bool receiverGone() const override;
    void onReceiverGone(std::function<void()> hook) override;

    /// Whether the answer exceeded the size limit and was truncated.
    bool tooLarge() const;
    /// Copies the buffered answer to @p response.
    void writeTo(httplib::Response &response) const;

private:
    AnswerHead head_;
    std::string body_;
    bool tooLarge_ = false;
};

/// Adds the headers of @p head to @p response, except the request id and the content type; returns the latter.
std::string writeHeaders(const AnswerHead &head, httplib::Response &response);
/// Writes the error as JSON with code, message, request id and run state, and Retry-After if a later retry may succeed.
void writeError(const Error &error, const std::string &requestId, httplib::Response &response);

} // namespace Portpaddle
