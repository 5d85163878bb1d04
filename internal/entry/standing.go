package entry

import "time"

// standing is what the store said of this entry's registration.
type standing struct {
	confirmed time.Time // when it was last confirmed; zero: never
	clean     bool      // no registration of an earlier run stood at first
}
