//go:build !race

package controller_test

// seedShare is the part of the seeds that are run: all.
const seedShare = 1
