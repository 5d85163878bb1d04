// Package fleetstore keeps the records of pools, disruptions and waves in the
// platform's store: one key for each instance, one for all disruptions, one for
// the latest wave and one for the roster of entries. Every write is a compare-and-swap.
package fleetstore
