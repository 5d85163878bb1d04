package configuration

import "persimmonbay/internal/shard"

// InForce holds the configuration in force on this entry. Only a newer version
// replaces it; the comparison and the replacement are one step under the cell's
// lock. It is safe for concurrent use.
type InForce struct {
	cell *shard.Cell[Versioned]
}

// NewInForce returns an InForce that holds no configuration yet.
func NewInForce() *InForce { return &InForce{cell: shard.NewCell(Versioned{})} }

// SetIfNewer puts v in force if it is newer than the configuration in force, and
// reports whether it did.
func (f *InForce) SetIfNewer(v Versioned) bool {
	return f.cell.Update(func(old Versioned) (Versioned, bool) { return v, v.Newer(old) })
}

// Get returns the configuration in force. Version 0 with a nil Configuration
// means that there is none yet.
func (f *InForce) Get() Versioned { return f.cell.Get() }

// Watch returns the configuration in force and a channel that is closed when a
// newer one replaces it.
func (f *InForce) Watch() (Versioned, <-chan struct{}) { return f.cell.Watch() }
