// Package worker is a small stand-in of a worker that runs tasks, with switches
// for its faults. Tasks only let time pass.
package worker
