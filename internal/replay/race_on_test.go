//go:build race

package replay_test

// extraSeeds is the number of seeds that each trace is replayed with besides its
// own. A replay runs in one goroutine, so further seeds show the race detector
// nothing new; the run without it uses more.
const extraSeeds = 1
