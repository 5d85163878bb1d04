package ledger

// Phase is the progress of the work under a key.
type Phase uint8

// The phases. PhaseFinished, PhaseRefused and PhaseInDoubt are final.
const (
	PhaseNone     Phase = iota // no record of the key; as an operation: lookup only
	PhaseClaimed               // one attempt may send the request
	PhaseFinished              // the upstream's answer is known
	PhaseRefused               // tombstone: the work never ran and never will
	PhaseInDoubt               // the request was sent, and its outcome is unknown
)

// String returns the name of the phase as it is shown to operators.
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
