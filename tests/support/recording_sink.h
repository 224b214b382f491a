// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Recording sinks and scripted attempt targets for tests.
#pragma once

#include "portpaddle/interfaces/attempt_target.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace Portpaddle {

/// Records everything it receives and simulates a receiver that disconnects on demand.
class RecordingSink : public AnswerSink
{
public:
    bool head(const AnswerHead &head) override
    {
        const std::lock_guard lock(mutex_);
        status_ = head.status;
        ++heads_;
        return !gone_;
    }

    bool data(std::string_view bytes) override
    {
        const std::lock_guard lock(mutex_);
        if (gone_) {
            return false;
        }
        text_.append(bytes);
        return true;
    }

    bool receiverGone() const override
    {
        const std::lock_guard lock(mutex_);
        return gone_;
    }

    void onReceiverGone(std::function<void()> hook) override
    {
        const std::lock_guard lock(mutex_);
        hook_ = std::move(hook);
    }

    void goAway()
    {
        const std::lock_guard lock(mutex_);
        gone_ = true;
        if (hook_) {
            hook_();
        }
    }

    std::string text() const
    {
        const std::lock_guard lock(mutex_);
        return text_;
    }

    int heads() const
    {
        const std::lock_guard lock(mutex_);
        return heads_;
    }

private:
    mutable std::mutex mutex_;
    std::function<void()> hook_;
    std::string text_;
    int status_ = 0;
    int heads_ = 0;
    bool gone_ = false;
};

/// An upstream client whose answers come from a function of the test.
class ScriptedUpstreams : public UpstreamClient
{
public:
    using Script = std::function<AttemptResult(const std::string &address, const Call &call, AnswerSink &sink)>;

    AttemptResult attempt(const std::string &address, const Call &call, Millis, AnswerSink &sink) override
    {
        ++attempts;
        return script(address, call, sink);
    }

    Script script;
    std::atomic<int> attempts{ 0 };
};

/// A forwarder whose answers come from a function of the test.
class ScriptedPeers : public PeerForwarder
{
public:
    using Script = std::function<AttemptResult(const std::string &dataCentre, const Call &call, AnswerSink &sink)>;

    AttemptResult forward(const std::string &dataCentre, const Call &call, const RequestPolicy &, Millis,
                          AnswerSink &sink) override
    {
        ++forwards;
        return script(dataCentre, call, sink);
    }

    Script script;
    std::atomic<int> forwards{ 0 };
};

/// Returns one event of a token stream as engines send it.
inline std::string tokenEvent(const std::string &text)
{
    return "data: {\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n";
}

inline const std::string closingEvent = "data: [DONE]\n\n";

} // namespace Portpaddle
