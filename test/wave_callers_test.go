package test

import "sync"

// waveCallers sends requests from several goroutines until stopped, each one
// request after the other. mu guards results.
type waveCallers struct {
	done    chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	results waveResults
}
