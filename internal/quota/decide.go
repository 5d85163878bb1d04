package quota

// inputs are the amounts of one resource by which a pool's grant is decided.
type inputs struct {
	cap          int // above 0
	grant        int // that the pool may count on
	others       int // granted to the other pools
	othersWanted int // granted to them or wanted by them, without the one whose turn it is
	short        int // how many of those want more than they were granted
	used         int
	needed       int  // used and waiting
	peak         int  // highest need of late
	slice        int  // that an idle pool keeps
	held         int  // for another pool, whose turn it is
	first        bool // it is this pool's turn
	waited       bool // it is the turn of another pool
}

// headroomShare is the part of a cap by which a raise exceeds the need, and a grant the
// need before some of it is returned, so that most starts change no account.
const headroomShare = 16

// spareShare is the part of a cap that stays free when an idle pool takes its slice: what
// it returned to one that was short does not go to and fro.
const spareShare = 4

// entitled returns what the pool may hold at most: everything while no other pool is
// short, otherwise its even part or what the others leave, whichever is more. What has
// waited long in the pool whose turn it is goes before that: an even part may never hold it.
func (in *inputs) entitled() int {
	left := in.cap
	if !in.first {
		left = max(in.cap-in.held, 0)
	}
	if in.short > 0 {
		left = max(left/(in.short+1), left-in.othersWanted)
	}
	if in.first {
		left = max(left, min(in.held, in.cap))
	}
	return left
}

// target returns the pool's next grant. It is raised only as far as all grants together
// stay within the cap.
func (in *inputs) target() int {
	room := in.cap - in.others
	if in.short > 0 || in.waited || in.grant > room {
		keep := max(in.used, min(in.needed, in.entitled(), room))
		if keep <= in.grant {
			return max(keep, 0)
		}
		return max(in.grant, min(keep, room))
	}
	headroom := in.cap / headroomShare
	keep := max(in.slice, in.peak)
	switch {
	case in.needed > in.grant:
		keep = in.needed + headroom
	case in.grant < in.slice && room >= in.slice+in.cap/spareShare:
		keep = in.slice
	case in.grant <= keep+headroom:
		return in.grant
	}
	if keep > in.grant {
		return max(in.grant, min(keep, room))
	}
	return keep
}

// running returns what the pool may have running once a start is counted, with the given
// grant.
func (in *inputs) running(grant int) int { return min(grant, in.cap-in.others, in.entitled()) }

// wanted returns what the pool wants in all if that is more than its grant, in steps of
// the headroom so that the account changes seldom; otherwise 0.
func (in *inputs) wanted(grant int) int {
	need := min(in.needed, in.cap)
	if need <= grant {
		return 0
	}
	step := max(in.cap/headroomShare, 1)
	return min((need+step-1)/step*step, in.cap)
}
