package maintenance

import "fmt"

// poolBlocker returns why the wave takes no instance of the pool now, or an
// empty string if it does or has none left to take.
func poolBlocker(s *Snapshot, p Policy, t PoolCount) string {
	waiting, away, drained := 0, 0, ""
	for id, r := range s.Records {
		if r.Home != t.Pool || !s.Wave.Covers(r) || r.Maintained == s.Wave.ID {
			continue
		}
		v, reserved := s.Disruptions.Find(id)
		switch {
		case !reserved:
			waiting++
		case v.Kind == ForDrain:
			drained = id
		case !p.lost(r, s.Now):
			away++
		}
	}
	switch {
	case away > 0 || t.Free() > 0 && waiting > 0:
		return ""
	case waiting > 0:
		return fmt.Sprintf("%d of %d instances serve and the budget requires %d; %d wait until one more serves", t.Present, t.Home, t.Needed, waiting)
	case drained != "":
		return drained + " is drained by an operator; 'instance undrain' lets the wave reboot it"
	}
	return ""
}
