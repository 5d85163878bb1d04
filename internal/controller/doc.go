// Package controller carries plans out: it holds the control lease, plans from
// snapshots and makes each change by one compare-and-swap. The lease lets one
// entry do the work; that nothing is done twice follows from the
// compare-and-swaps alone.
package controller
