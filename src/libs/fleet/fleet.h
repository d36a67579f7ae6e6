#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

/// Public header of the fleet library: the operators' configuration and the
/// endpoints that are alive, as one VM knows them. No input or output.
#include "fleet/configuration.h"
#include "fleet/endpoints.h"

#endif // FLEET_FLEET_H
