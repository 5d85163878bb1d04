package configuration

import "persimmonbay/internal/shard"

// InForce holds the configuration in force on this entry. It only ever moves
// to a newer version; the cell's lock guards that order.
type InForce struct {
	cell *shard.Cell[Versioned]
}

// NewInForce returns a holder with no configuration.
func NewInForce() *InForce { return &InForce{cell: shard.NewCell(Versioned{})} }

// Offer puts v in force if it is newer than what is, and reports whether it
// did.
func (f *InForce) Offer(v Versioned) bool {
	return f.cell.Update(func(old Versioned) (Versioned, bool) { return v, v.Newer(old) })
}

// Get returns what is in force; its Configuration is nil when there is none.
func (f *InForce) Get() Versioned { return f.cell.Get() }

// Watch returns what is in force and a channel closed when that changes.
func (f *InForce) Watch() (Versioned, <-chan struct{}) { return f.cell.Watch() }
