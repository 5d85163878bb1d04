package intake

import "persimmonbay/internal/store"

// Owner is the owner of a pool at some revision of the store.
type Owner struct {
	Token int64  // revision of the stored ownership; 0: the pool has no owner
	Entry string // ID of the owning entry; empty: the pool has no owner
}

// ownerOf returns the owner that the item of an ownership key names. found is
// false when the key does not exist.
func ownerOf(item store.Item, found bool) Owner {
	if !found {
		return Owner{}
	}
	return Owner{Token: item.Revision, Entry: string(item.Value)}
}
