#ifndef QUARANTINE_QUARANTINE_H
#define QUARANTINE_QUARANTINE_H

/// Public header of the quarantine library: finds prompt parts that crash the
/// endpoints which run them ("queries of death", Google SRE book, Addressing
/// Cascading Failures) and keeps calls with them from endpoints. Performs no
/// input or output.
#include "quarantine/crashledger.h"
#include "quarantine/quarantinelist.h"

#endif // QUARANTINE_QUARANTINE_H
