#ifndef CONFIGURATION_CONFIGURATION_H_
#define CONFIGURATION_CONFIGURATION_H_

/**
 * Module `configuration`: commits catalogue edits and distributes the catalogue
 * in force to all instances.
 */
#include "configuration/catalogue_rows.h"
#include "configuration/configuration_sync.h"
#include "configuration/edit_session.h"

#endif  // CONFIGURATION_CONFIGURATION_H_
