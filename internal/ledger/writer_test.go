package ledger_test

import "persimmonbay/internal/ledger"

// writer is one entry's committer in the model check. state is nil when it has to
// be loaded.
type writer struct {
	state *ledger.State
}
