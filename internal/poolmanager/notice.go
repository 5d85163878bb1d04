package poolmanager

// Notice reports that a job was accepted or cancelled, after the store has committed
// that. The owner's watch of the store returns the same change; the notice arrives
// sooner, and also while watches fail.
type Notice struct {
	Service    string
	Job        string
	Value      []byte // the job as stored; empty if it was cancelled
	Revision   int64  // store revision of the change
	Cancelled  bool
	OwnerEntry string // the entry that owns the pool; empty: unknown, or none
	OwnerToken int64  // fencing token of the pool's owner when the job was accepted
}
