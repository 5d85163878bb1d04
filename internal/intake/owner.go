package intake

import "persimmonbay/internal/store"

// Owner is the owner of a pool at one revision of the store.
type Owner struct {
	Token int64  // revision of the ownership; 0: nobody owns the pool
	Entry string // the entry; empty: nobody
}

// ownerOf returns the owner that an ownership key names; found is false where
// there is no key.
func ownerOf(item store.Item, found bool) Owner {
	if !found {
		return Owner{}
	}
	return Owner{Token: item.Revision, Entry: string(item.Value)}
}
