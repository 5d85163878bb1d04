package entry

import "time"

// registrationStatus is what the store's answers show of this entry's
// registration.
type registrationStatus struct {
	confirmed     time.Time // when it was last confirmed; zero: never
	noPredecessor bool      // no registration of an earlier incarnation existed at the start
}
