package poolmanager

import "time"

// poolOwner is the owner of a pool.
type poolOwner struct {
	entry string    // name of the owning entry; empty: the pool has no owner
	token int64     // fencing token
	since time.Time // when this entry received the owner's last change
}
