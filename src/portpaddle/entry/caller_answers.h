// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Writes answers and errors the way callers expect them.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/interfaces/answer_sink.h"

#include <string>

namespace httplib {
struct Response;
}

namespace Portpaddle {

/// Collects a whole answer, up to a bound, before any of it goes out.
class BufferedAnswer : public AnswerSink
{
public:
    bool head(const AnswerHead &head) override;
    bool data(std::string_view bytes) override;
    bool receiverGone() const override;
    void onReceiverGone(std::function<void()> hook) override;

    /// Whether the answer exceeded the bound and was cut.
    bool tooLarge() const;
    void writeTo(httplib::Response &response) const;

private:
    AnswerHead head_;
    std::string body_;
    bool tooLarge_ = false;
};

/// Adds the headers of @p head but for the content type, which is returned.
std::string writeHeaders(const AnswerHead &head, httplib::Response &response);
/// Answers with the error as JSON: code, message, request id, run state and, where waiting helps, Retry-After.
void writeError(const Error &error, const std::string &requestId, httplib::Response &response);

} // namespace Portpaddle
