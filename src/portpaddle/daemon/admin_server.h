// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The HTTP listener for operators, separate from the listener for callers and with its own key.
#pragma once

#include "portpaddle/base/http_server.h"

#include <functional>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace Portpaddle {

class Daemon;
struct ChangeProposal;

/// Serves the admin API and the metrics page.
class AdminServer
{
public:
    explicit AdminServer(Daemon &daemon);
    Result<SocketAddress> start(const SocketAddress &address);
    void stop();

private:
    using Route = void (AdminServer::*)(const httplib::Request &, httplib::Response &);

    /// Fills in the parts of a proposal that depend on its kind.
    using ProposalFiller = std::function<Status(const nlohmann::json &json, ChangeProposal &proposal)>;

    void addRoutes();
    void propose(const httplib::Request &request, httplib::Response &response, const ProposalFiller &fill);
    void handleAuthenticated(const httplib::Request &request, httplib::Response &response, Route route);
    void status(const httplib::Request &request, httplib::Response &response);
    void members(const httplib::Request &request, httplib::Response &response);
    void upstreams(const httplib::Request &request, httplib::Response &response);
    void showSettings(const httplib::Request &request, httplib::Response &response);
    void proposeSettings(const httplib::Request &request, httplib::Response &response);
    void revertSettings(const httplib::Request &request, httplib::Response &response);
    void history(const httplib::Request &request, httplib::Response &response);
    void audit(const httplib::Request &request, httplib::Response &response);
    void explainRequest(const httplib::Request &request, httplib::Response &response);
    void orders(const httplib::Request &request, httplib::Response &response);
    void drain(const httplib::Request &request, httplib::Response &response);
    void metrics(const httplib::Request &request, httplib::Response &response);

    Daemon &daemon_;
    HttpServer server_;
};

} // namespace Portpaddle
