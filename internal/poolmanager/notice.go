package poolmanager

// Notice tells of a job that was accepted or cancelled. The store keeps the
// same; the notice only comes sooner, and also while watches hear nothing.
type Notice struct {
	Service    string
	Job        string
	Value      []byte // the job as stored; empty when it was cancelled
	Revision   int64  // store revision of the change
	Cancelled  bool
	OwnerEntry string // the entry that owns the pool; empty: nobody
	OwnerToken int64  // fencing token of the pool's owner when the job was accepted
}
