package membership

// EntryID identifies an entry. It stays the same when the entry restarts.
type EntryID string
