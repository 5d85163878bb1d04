package test

import "sync"

// waveCallers send requests one after another until stopped. mu guards
// results.
type waveCallers struct {
	done    chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	results waveResults
}
