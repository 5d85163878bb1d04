package hostile

import (
	"os"
	"strconv"
)

// machine is what the settings of a process say of its machine. Both are the bounds of the
// tests.
type machine struct {
	megabytes   int
	descriptors int
}

// small is the machine of all specs: it has a third of the memory of the smallest machine in
// use, and fewer descriptors than the crowd has connections.
var small = machine{megabytes: 64, descriptors: 256}

// crowdVariable is the environment variable with the number of clients of a run by hand. They
// then meet the smallest machine in use.
const crowdVariable = "PERSIMMONBAY_CROWD"

func init() {
	if size, err := strconv.Atoi(os.Getenv(crowdVariable)); err == nil {
		crowdSize, small = size, machine{megabytes: 184, descriptors: 4100}
	}
}
