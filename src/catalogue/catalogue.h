#ifndef CATALOGUE_CATALOGUE_H_
#define CATALOGUE_CATALOGUE_H_

/**
 * Module `catalogue`: what operators declare.
 *
 * Entry types and their JSON form, parsing with errors that name the place and
 * the permitted range, validation of a whole catalogue, differences between two
 * catalogues, the indexed catalogue in force, and the table from client blocks
 * to availability zones.
 */
#include "catalogue/catalogue_difference.h"
#include "catalogue/catalogue_file.h"
#include "catalogue/catalogue_index.h"
#include "catalogue/catalogue_problem.h"
#include "catalogue/catalogue_validator.h"
#include "catalogue/entry.h"
#include "catalogue/ipv4.h"
#include "catalogue/prefix_table.h"

#endif  // CATALOGUE_CATALOGUE_H_
