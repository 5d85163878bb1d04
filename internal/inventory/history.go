package inventory

// maxEarlier bounds the lists that are kept to tell a peer only what changed
// since the one it has.
const maxEarlier = 4

// history is the list in use and those that it replaced, newest first. It is
// immutable.
type history struct {
	current List
	earlier []List
}

// replaced returns the history with another list in use.
func (h history) replaced(by List) history {
	earlier := append([]List{h.current}, h.earlier...)
	return history{current: by, earlier: earlier[:min(len(earlier), maxEarlier)]}
}

// aged returns the history with a newer stamp of the list in use.
func (h history) aged(stamp Stamp) history {
	h.current.Stamp = stamp
	return h
}

// find returns the list with this stamp, if it is kept.
func (h history) find(stamp Stamp) (List, bool) {
	if h.current.Stamp.Same(stamp) {
		return h.current, true
	}
	for _, l := range h.earlier {
		if l.Stamp.Same(stamp) {
			return l, true
		}
	}
	return List{}, false
}
