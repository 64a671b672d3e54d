#ifndef DOTTERELSHIFT_ROUTING_TARGET_H_
#define DOTTERELSHIFT_ROUTING_TARGET_H_

#include <string>       // for string
#include <string_view>  // for string_view

#include "dotterelshift/state/configuration.h"    // for Configuration
#include "dotterelshift/wire/frames_generated.h"  // for EndpointRecordT

namespace dotterelshift::routing {

// A target is a model, a model with an adapter as "model:adapter", or a plain
// service. As model names may contain colons themselves, the whole name is
// matched first.

// Returns "model" of "model:adapter"; the whole name if it has no colon.
std::string_view BaseModel(std::string_view target);

// Whether the endpoint serves the model (and the adapter) or the service.
bool Serves(const wire::EndpointRecordT& record, const std::string& target,
            bool service);

// Whether the configuration knows the target and lets the team use it.
state::Reach ReachOf(const state::Configuration& configuration,
                     const TeamId& team, const std::string& target,
                     bool service);

// Whether the team may use this endpoint for the target.
bool MayUse(const state::Configuration& configuration, const TeamId& team,
            const EndpointId& endpoint, const std::string& target);

}  // namespace dotterelshift::routing

#endif  // DOTTERELSHIFT_ROUTING_TARGET_H_
