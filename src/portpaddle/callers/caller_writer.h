// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The answer to one request: written once, and on a connection that serves many requests.
#pragma once

#include "portpaddle/callers/memory_budget.h"
#include "portpaddle/net/asio.h"

#include <boost/beast/http/fields.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace Portpaddle {

/// A complete answer.
struct WholeAnswer
{
    unsigned status = 200;
    boost::beast::http::fields fields;
    std::string body;
    /// Sent instead of the body if set; several answers may share it.
    std::shared_ptr<const std::string> sharedBody{};
    /// What the body takes from the memory for answers; empty for answers that this daemon made itself.
    MemoryShare memory;
};

/// How far the answer to a request is.
enum class AnswerState {
    /// Nothing of it was written.
    None,
    /// Its head was written; more of it, or its end, is due.
    Begun,
    /// It is complete, or its connection was closed before its end.
    Ended,
};

std::string_view nameOf(AnswerState state);

/// The connection on which answers are written. It writes what it is told to; CallerWriter sees to it that this is one answer.
/// Each call that writes returns false once the peer is gone.
class CallerConnection
{
public:
    virtual ~CallerConnection() = default;
    /// The id of the request in progress, for the log.
    virtual const std::string &requestId() const = 0;
    virtual Task<bool> sendContinue() = 0;
    virtual Task<bool> sendWhole(WholeAnswer answer) = 0;
    virtual Task<bool> sendHead(unsigned status, boost::beast::http::fields fields) = 0;
    virtual Task<bool> sendChunk(std::string_view bytes) = 0;
    virtual Task<bool> sendEnd() = 0;
    virtual Task<bool> sendEndWithTrailer(const char *name, const std::string &value) = 0;
    virtual void abandon() = 0;
};

/// Writes the answer to one request, either whole or in chunks. Each call that writes returns false once the caller is gone. A
/// call that does not fit the state of the answer writes nothing, closes the connection, is logged, and returns false.
class CallerWriter
{
public:
    explicit CallerWriter(CallerConnection &connection);
    CallerWriter(const CallerWriter &) = delete;
    CallerWriter &operator=(const CallerWriter &) = delete;

    AnswerState state() const;
    /// Asks for the body of the request; the answer is still to come.
    Task<bool> askForBody();
    Task<bool> whole(WholeAnswer answer);
    /// Writes the head of an answer whose length is not known.
    Task<bool> begin(unsigned status, boost::beast::http::fields fields);
    Task<bool> writeChunk(std::string_view bytes);
    Task<bool> end();
    /// Ends an answer to another daemon with a trailer field that says where the answer continues.
    Task<bool> endWithTrailer(const char *name, const std::string &value);
    /// Closes the connection, so that an incomplete answer cannot look complete.
    void abort();

private:
    /// Goes from @p expected to @p next; aborts and returns false if the answer is in another state.
    bool advance(AnswerState expected, AnswerState next, std::string_view call);

    CallerConnection &connection_;
    AnswerState state_ = AnswerState::None;
};

} // namespace Portpaddle
