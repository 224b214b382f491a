// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The receiver of the answer to a request.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Portpaddle {

/// A header field of a request or an answer.
struct HeaderField
{
    std::string name;
    std::string value;
};

/// The status and the headers of an answer.
struct AnswerHead
{
    int status = 200;
    std::vector<HeaderField> headers;
};

/// Receives one answer. Calls block while the receiver is slow; head() and data() return false when the receiver is gone.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    virtual bool head(const AnswerHead &head) = 0;
    virtual bool data(std::string_view bytes) = 0;
    virtual bool receiverGone() const = 0;
    /// Calls @p hook once when the receiver disconnects. An empty hook removes the current one and waits until it has returned.
    virtual void onReceiverGone(std::function<void()> hook) = 0;
};

} // namespace Portpaddle
