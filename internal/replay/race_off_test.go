//go:build !race

package replay_test

// otherSeeds is how many seeds besides its own each trace is replayed with.
const otherSeeds = 5
