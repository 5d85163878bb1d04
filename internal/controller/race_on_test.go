//go:build race

package controller_test

// seedShare divides the number of seeds. A simulated fleet runs in one
// goroutine, so further seeds give the race detector nothing new; the run
// without it takes all seeds.
const seedShare = 4
