// Package worker is a small stand-in for a worker that runs tasks, and can inject
// its faults. Tasks do nothing but take time.
package worker
