//go:build !race

package replay_test

// extraSeeds is the number of seeds that each trace is replayed with besides its own.
const extraSeeds = 5
