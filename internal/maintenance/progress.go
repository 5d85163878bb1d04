package maintenance

// Progress is how far a wave is, as one snapshot shows it.
type Progress struct {
	Wave    Wave     `json:"wave"`
	Total   int      `json:"total"`   // instances it covers
	Done    int      `json:"done"`    // rebooted and back
	Away    int      `json:"away"`    // reserved, draining, drained or rebooting
	Lost    []string `json:"lost"`    // rebooted, and did not come back in time
	Missing []string `json:"missing"` // gone from the list without a plan
	Holds   []Hold   `json:"holds"`   // why nothing more is taken; empty while it goes on
}

// ProgressOf returns how far the latest wave is.
func ProgressOf(s *Snapshot, p Policy) Progress {
	out := Progress{Wave: s.Wave, Lost: []string{}, Missing: []string{}, Holds: []Hold{}}
	for _, id := range sortedIDs(s.Records) {
		r := s.Records[id]
		if s.Wave.ID == "" || !s.Wave.Covers(r) {
			continue
		}
		out.Total++
		_, reserved := s.Disruptions.Find(id)
		switch {
		case r.Maintained == s.Wave.ID:
			out.Done++
		case p.lost(r, s.Now):
			out.Lost = append(out.Lost, id)
		case reserved:
			out.Away++
		case r.Missing():
			out.Missing = append(out.Missing, id)
		}
	}
	if s.Wave.Open() {
		out.Holds = holds(s, p)
	}
	return out
}

// holds returns why the wave takes nothing more now.
func holds(s *Snapshot, p Policy) []Hold {
	if s.Wave.State == WavePaused {
		return []Hold{{Reason: "paused by an operator; 'wave resume' lets it go on"}}
	}
	if reason := s.fleetHold(p); reason != "" {
		return []Hold{{Reason: reason}}
	}
	all := []Hold{}
	tallies := Tallies(s)
	for _, pool := range sortedIDs(tallies) {
		if reason := poolHold(s, p, tallies[pool]); reason != "" {
			all = append(all, Hold{Pool: pool, Reason: reason})
		}
	}
	return all
}
