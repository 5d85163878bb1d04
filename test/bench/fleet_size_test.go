package bench

import "fmt"

// fleetSize is the size of a fleet whose control work is observed.
type fleetSize struct{ entries, instances int }

// String names the size.
func (s fleetSize) String() string {
	return fmt.Sprintf("entries=%d/instances=%d", s.entries, s.instances)
}
