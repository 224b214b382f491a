// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The JSON in which the platform's service is spoken to over HTTP.
#pragma once

#include "portpaddle/interfaces/platform.h"

#include <nlohmann/json.hpp>

namespace Portpaddle {

nlohmann::json toJson(const KeyValue &value);
KeyValue keyValueFromJson(const nlohmann::json &json);
nlohmann::json toJson(const VmEntry &entry);
VmEntry vmFromJson(const nlohmann::json &json);
nlohmann::json toJson(const Error &error);
Error errorFromJson(const nlohmann::json &json);

} // namespace Portpaddle
