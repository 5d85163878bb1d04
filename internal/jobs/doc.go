// Package jobs carries out the plans of package placement. The entry that holds
// the control lease writes each step to the store, orders tasks according to the
// stored state, and stores the outcomes that the platform reports. Every action
// derives from the store alone, so that another entry can continue at any point.
package jobs
