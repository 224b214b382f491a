// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Accepts connections and runs a session on each.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/gateway/caller_session.h"

#include <boost/asio/basic_socket_acceptor.hpp>

#include <list>
#include <memory>
#include <string>

namespace Portpaddle {

/// Belongs to one event loop.
class SessionListener
{
public:
    SessionListener(Executor executor, SessionPeer peer, RequestHandler &handler, std::size_t maxSessions);

    /// Begins to accept on @p address (IP:PORT).
    Status listen(const std::string &address);
    /// Where it listens, IP:PORT; tells the port that was chosen for port 0.
    std::string address() const;
    /// Accepts no more; open sessions go on.
    void stopAccepting();
    void closeIdle();
    void closeAll();
    /// Sessions that are open; forgets the ended ones.
    std::size_t open();

private:
    using Acceptor = boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, Executor>;

    void acceptNext();

    Executor executor_;
    SessionPeer peer_;
    RequestHandler &handler_;
    std::size_t maxSessions_;
    Acceptor acceptor_;
    SteadyTimer pause_;
    std::list<std::weak_ptr<CallerSession>> sessions_;
};

} // namespace Portpaddle
