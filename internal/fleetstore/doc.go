// Package fleetstore reads and writes the maintenance state of the fleet in the
// platform's store: one key for the record of each instance, one for all
// disruptions, one for the latest maintenance wave and one for the roster of
// entries. Every write is a compare-and-swap.
package fleetstore
