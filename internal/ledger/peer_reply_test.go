package ledger_test

import "persimmonbay/internal/ledger"

// peerReply is what a forwarded operation came to.
type peerReply struct {
	verdict ledger.Verdict
	err     error
}
