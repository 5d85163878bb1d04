package upstream

// RebootOrder orders a stand-in upstream to reboot.
type RebootOrder struct {
	DownMillis int64 `json:"downMillis"` // duration of the reboot
}
