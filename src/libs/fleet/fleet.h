#ifndef FLEET_FLEET_H
#define FLEET_FLEET_H

/// Public header of the fleet library: this VM's view of the operators'
/// configuration and of the registered endpoints. Performs no I/O.
#include "fleet/configuration.h"
#include "fleet/endpoints.h"
#include "fleet/evacuations.h"

#endif // FLEET_FLEET_H
