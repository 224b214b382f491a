// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Where the answer to a request goes.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Portpaddle {

/// One header field of a request or an answer.
struct HeaderField
{
    std::string name;
    std::string value;
};

/// Status and headers of an answer.
struct AnswerHead
{
    int status = 200;
    std::vector<HeaderField> headers;
};

/// Receives one answer. Calls may block while the receiver is slow; false means that it is gone.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    virtual bool head(const AnswerHead &head) = 0;
    virtual bool data(std::string_view bytes) = 0;
    virtual bool receiverGone() const = 0;
    /// Calls @p hook once if the receiver goes away; an empty hook removes the one set. Removal waits for a running hook.
    virtual void onReceiverGone(std::function<void()> hook) = 0;
};

} // namespace Portpaddle
