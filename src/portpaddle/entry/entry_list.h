// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Which entry VMs a caller should use.
#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace Portpaddle {

class Blackboard;

/// Usable entry VMs, the own data centre first, without those that the residency of the organisation's request forbids.
nlohmann::json listEntries(const Blackboard &board, const std::string &organisation, const std::string &service);

} // namespace Portpaddle
