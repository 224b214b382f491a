// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The list of entry VMs for callers.
#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace Portpaddle {

class Blackboard;

/// Returns the usable entry VMs, nearest first, except those where the residency rules of @p organisation forbid @p service or,
/// if that is empty, any service.
nlohmann::json listEntries(const Blackboard &board, const std::string &organisation, const std::string &service);

} // namespace Portpaddle
