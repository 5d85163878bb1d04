//go:build !race

package controller_test

// seedShare divides the number of seeds: all are run.
const seedShare = 1
