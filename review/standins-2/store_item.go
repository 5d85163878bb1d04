package main

import (
	"time"
)

// storeItem is a key of the store, or its deletion.
type storeItem struct {
	key, value        string // the value in base64
	revision, created int64
	lease             int64
	deleted           bool
	at                time.Time
}

func (i *storeItem) object() object {
	if i.deleted {
		return object{"key": i.key, "revision": i.revision, "deleted": true}
	}
	return object{"key": i.key, "value": i.value, "revision": i.revision, "created": i.created, "lease": i.lease}
}
