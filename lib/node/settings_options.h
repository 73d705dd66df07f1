// Converts effective settings to the options of admission and routing.

#ifndef YUCCASTAIR_LIB_NODE_SETTINGS_OPTIONS_H_
#define YUCCASTAIR_LIB_NODE_SETTINGS_OPTIONS_H_

#include "settings_view.h"
#include "yuccastair/admission/options.h"
#include "yuccastair/routing/options.h"

namespace yuccastair::node {

admission::Options MakeAdmissionOptions(const EffectiveSettings& settings);

routing::Options MakeRoutingOptions(const EffectiveSettings& settings);

}  // namespace yuccastair::node

#endif  // YUCCASTAIR_LIB_NODE_SETTINGS_OPTIONS_H_
