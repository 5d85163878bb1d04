package poolmanager

import "time"

// ownerEntry is the owner of a pool.
type ownerEntry struct {
	entry string    // empty: the pool has no owner
	token int64     // fencing token
	since time.Time // when this entry received the owner's last change
}
