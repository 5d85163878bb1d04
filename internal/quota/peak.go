package quota

import "time"

// peak is the highest need of the last one to two peakWindows.
type peak struct {
	since            time.Time // of current
	current, earlier Amount
}

// peakWindow is how long at least a pool keeps what it needed before it returns it.
const peakWindow = time.Second

func (p *peak) add(need Amount, now time.Time) Amount {
	if now.Sub(p.since) >= peakWindow {
		p.earlier, p.current, p.since = p.current, Amount{}, now
	}
	p.current = p.current.Max(need)
	return p.current.Max(p.earlier)
}
