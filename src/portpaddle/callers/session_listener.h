// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Accepts connections and runs a session on each.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/callers/caller_session.h"

#include <boost/asio/basic_socket_acceptor.hpp>

#include <list>
#include <memory>
#include <string>

namespace Portpaddle {

/// Listens on one address; belongs to one event loop.
class SessionListener
{
public:
    SessionListener(Executor executor, SessionPeer peer, RequestHandler &handler, std::size_t maxSessions);

    /// Starts to accept connections on @p address (IP:PORT).
    Status listen(const std::string &address);
    /// Returns the address as IP:PORT, with the port that the system chose for port 0; empty if the listener is not open.
    std::string address() const;
    /// Takes the connections that wait to be accepted and accepts no others; open sessions continue.
    void stopAccepting();
    void closeIdle();
    void closeAll();
    /// Returns the number of open sessions; removes the ended ones from the list.
    std::size_t open();

private:
    using Acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Executor>;

    void acceptNext();
    /// Takes the connections that wait to be accepted.
    void takeWaiting();
    /// Serves a connection that was accepted, unless there are too many.
    void take(Socket socket);
    void noteRefused();

    Executor executor_;
    SessionPeer peer_;
    RequestHandler &handler_;
    std::size_t maxSessions_;
    Acceptor acceptor_;
    SteadyTimer retryTimer_;
    std::list<std::weak_ptr<CallerSession>> sessions_;
};

} // namespace Portpaddle
