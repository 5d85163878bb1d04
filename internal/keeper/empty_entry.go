package keeper

// emptyEntry tells how far a machine is emptied.
type emptyEntry struct {
	revision int64
	emptied  bool
}
