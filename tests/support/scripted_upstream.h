// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// An upstream on a loopback port whose answers a test defines byte for byte, including malformed ones.
#pragma once

#include "portpaddle/base/thread.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Portpaddle {

/// A request as received on the wire.
struct SeenRequest
{
    std::string requestLine;
    /// By lower-case name.
    std::map<std::string, std::string> headers;
    std::string body;
    /// Counts connections from zero.
    unsigned connection = 0;
};

/// A header line with the id of the request, which replaces @id wherever an answer has it.
inline constexpr const char *ownId = "X-Request-Id: @id\r\n";

/// What the upstream does with one request.
struct ScriptedAnswer
{
    /// Bytes of the answer, sent unchanged but for @id.
    std::string bytes;
    /// After the end of the bytes was announced, as by shutdown(), the connection is reset, or read until the peer closes it.
    enum class Then { KeepOpen, Close, Reset, Hang, FinishAndReset, FinishAndRead } then = Then::KeepOpen;
    /// Called after the bytes are written and before @ref then takes effect; may block.
    std::function<void()> afterWriting = [] {};
    /// Sent again and again until the peer closes the connection; empty for nothing.
    std::string endless = {};
};

/// When the script is asked for an answer: once a request has arrived, or before any of its body is read.
enum class AnswersAfter { Request, Head };

/// Serves each connection on its own thread.
class ScriptedUpstream
{
public:
    using Script = std::function<ScriptedAnswer(const SeenRequest &)>;

    explicit ScriptedUpstream(Script script, AnswersAfter answersAfter = AnswersAfter::Request);
    ~ScriptedUpstream();

    /// Returns the address as IP:PORT.
    std::string address() const;
    std::vector<SeenRequest> seen() const;
    unsigned connections() const;
    /// From now on new connections are refused; open ones go on.
    void refuseConnections();
    /// Returns the number of connections that the peer closed.
    unsigned closedByPeer() const;

private:
    void accept();
    void serve(int socket, unsigned number);

    Script script_;
    AnswersAfter answersAfter_;
    int listener_ = -1;
    unsigned short port_ = 0;
    std::atomic<bool> stopping_{ false };
    std::atomic<unsigned> connections_{ 0 };
    std::atomic<unsigned> closedByPeer_{ 0 };
    mutable std::mutex mutex_;
    std::vector<SeenRequest> seen_;
    std::vector<int> sockets_;
    std::vector<Thread> threads_;
    Thread acceptor_;
};

/// Returns a signed answer with status 200 and a length to the request with @p id.
std::string wholeAnswer(const std::string &id, const std::string &body, const std::string &moreHeaders = {});
/// Returns the id that the caller gave @p request.
std::string idOf(const SeenRequest &request);
/// Returns a signed answer with the body of @p request.
ScriptedAnswer echo(const SeenRequest &request);
/// A refusal that confirms that the request was not run.
inline constexpr const char *notRunAnswer = "HTTP/1.1 503 Busy\r\nX-Request-Id: @id\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
/// Returns the head of a chunked event stream.
std::string streamHead(const std::string &id);
/// Returns the head of an event stream that has neither a length nor chunks and ends with its connection.
std::string openStreamHead(const std::string &id);
/// Returns events with the given ids.
std::string events(unsigned first, unsigned last);
/// Returns one chunk with events of the given ids.
std::string eventChunk(unsigned first, unsigned last);
inline const std::string lastChunk = "0\r\n\r\n";

} // namespace Portpaddle
