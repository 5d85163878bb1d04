package upstream

// RebootOrder tells a stand-in runner that it is rebooted.
type RebootOrder struct {
	DownMillis int64 `json:"downMillis"` // how long it is away
}
