package poolmanager

import "time"

// ownerEntry tells who owns a pool.
type ownerEntry struct {
	entry string // empty: nobody
	token int64
	since time.Time // when this was learned
}
