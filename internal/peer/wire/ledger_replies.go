package wire

import (
	"persimmonbay/internal/ledger"
	"persimmonbay/internal/problem"
)

// FromLedgerReplies converts the replies to ledger operations to their message.
func FromLedgerReplies(replies []ledger.Reply) *LedgerReplies {
	m := &LedgerReplies{Replies: make([]*LedgerReply, len(replies))}
	for i, r := range replies {
		m.Replies[i] = &LedgerReply{}
		if r.Err != nil {
			m.Replies[i].FailureKind, m.Replies[i].FailureDetail = string(problem.KindOf(r.Err)), r.Err.Error()
			continue
		}
		m.Replies[i].Verdict = FromLedgerVerdict(r.Verdict)
	}
	return m
}

// ToLedgerReplies converts a message from peer to replies. A reply that is not
// valid becomes one with an error, never a granted claim.
func ToLedgerReplies(peer string, m *LedgerReplies) []ledger.Reply {
	replies := make([]ledger.Reply, len(m.GetReplies()))
	for i, r := range m.GetReplies() {
		if r.GetFailureKind() != "" {
			replies[i].Err = problem.New(problem.Kind(r.GetFailureKind()), problem.StepClaim, peer, r.GetFailureDetail())
			continue
		}
		replies[i].Verdict, replies[i].Err = ToLedgerVerdict(r.GetVerdict())
	}
	return replies
}
