package inventory

// maxEarlier is the number of earlier lists that are retained, so that a peer that
// has one of them needs only the changes since.
const maxEarlier = 4

// history is the list in use and the latest ones that it replaced, newest first. It
// is immutable.
type history struct {
	current List
	earlier []List
}

// replaced returns the history with the list by in use.
func (h history) replaced(by List) history {
	earlier := append([]List{h.current}, h.earlier...)
	return history{current: by, earlier: earlier[:min(len(earlier), maxEarlier)]}
}

// aged returns the history with stamp as the stamp of the list in use.
func (h history) aged(stamp Stamp) history {
	h.current.Stamp = stamp
	return h
}

// find returns the list with this stamp, or false if it is not retained.
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
