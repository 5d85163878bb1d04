package ledger

// Phase says how far the work under a key has come.
type Phase uint8

// The phases. All but Claimed are final.
const (
	PhaseNone     Phase = iota // nothing is known; as an operation: look only
	PhaseClaimed               // one attempt may send the request
	PhaseFinished              // the upstream's answer is known
	PhaseRefused               // tombstone: it never ran and never will
	PhaseInDoubt               // it was sent, and nobody knows what became of it
)

// String returns the word that operators see.
func (p Phase) String() string {
	switch p {
	case PhaseClaimed:
		return "claimed"
	case PhaseFinished:
		return "finished"
	case PhaseRefused:
		return "refused"
	case PhaseInDoubt:
		return "in-doubt"
	}
	return "none"
}
