// Package controller carries out plans: it acquires the control lease, plans
// from snapshots and makes each change by one compare-and-swap. The lease only
// saves work, since one entry plans for all; that no change is made twice is
// ensured by the compare-and-swaps alone.
package controller
