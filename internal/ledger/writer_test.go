package ledger_test

import "persimmonbay/internal/ledger"

// writer is one entry's committer in the model check. state is nil when the
// writer has to load.
type writer struct {
	state *ledger.State
}
