package answertime

// State tells how a peer has answered lately.
type State uint8

// The states of a peer.
const (
	Unknown State = iota // it has not answered yet
	Sound                // it answers in time
	Slow                 // its answers take longer than the shortest timeout
	Lossy                // some calls get no answer, the others get one in time
	Silent               // the last calls got none
)

var stateNames = [...]string{"unknown", "sound", "slow", "lossy", "silent"}

// String returns the state's name in logs and metrics.
func (s State) String() string { return stateNames[s] }
