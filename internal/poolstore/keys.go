package poolstore

import "strings"

// Prefixes of the keys.
const (
	FleetPrefix  = "fleet/"
	memberPrefix = "fleet/member/"
	ownerPrefix  = "fleet/owner/"
)

// RequestPrefix is the prefix of what the machine controller requests of
// pools. Only pools' owners and that holder follow it.
const (
	RequestPrefix = "asked/"
	emptyPrefix   = "asked/empty/"
	recallPrefix  = "asked/recall/"
)

// ReportPrefix is the prefix of what pools report to the machine
// controller.
const (
	ReportPrefix = "duty/"
	needPrefix   = "duty/need/"
	offerPrefix  = "duty/offer/"
)

// NeedKey is the key of how many more machines a pool could use.
func NeedKey(service string) string { return needPrefix + service }

// OfferKey is the key of a machine that its pool can spare.
func OfferKey(machine string) string { return offerPrefix + machine }

// OfferPrefix is the prefix of the machines that pools can spare.
const OfferPrefix = offerPrefix

// ParseNeed returns the service that a key names, or false.
func ParseNeed(key string) (service string, ok bool) { return strings.CutPrefix(key, needPrefix) }

// ParseOffer returns the machine that a key names, or false.
func ParseOffer(key string) (machine string, ok bool) { return strings.CutPrefix(key, offerPrefix) }

// SecretKey is the key of what entries prove themselves to each other with.
const SecretKey = "fleet/secret"

// HomeKey is the key of how many machines are each pool's own.
const HomeKey = "fleet/home"

// RecallKey is the key of how many machines a pool has to give up.
func RecallKey(service string) string { return recallPrefix + service }

// ParseRecall returns the service that a key names, or false.
func ParseRecall(key string) (service string, ok bool) { return strings.CutPrefix(key, recallPrefix) }

// MemberKey is the key of an entry that is alive.
func MemberKey(node string) string { return memberPrefix + node }

// OwnerKey is the key of a pool's owner.
func OwnerKey(service string) string { return ownerPrefix + service }

// EmptyKey is the key of a machine that is to be emptied.
func EmptyKey(machine string) string { return emptyPrefix + machine }

// RosterKey is the key of a pool's roster.
func RosterKey(service string) string { return "roster/" + service }

// WorkPrefix is the prefix of all that a pool's owner has to know of its jobs.
func WorkPrefix(service string) string { return "work/" + service + "/" }

// JobKey is the key of an accepted job.
func JobKey(service, id string) string { return WorkPrefix(service) + "job/" + id }

// CancelKey is the key of a job's cancelling.
func CancelKey(service, id string) string { return WorkPrefix(service) + "cancel/" + id }

// StatePrefix is the prefix of the progress of a pool's jobs.
func StatePrefix(service string) string { return "state/" + service + "/" }

// StateKey is the key of a job's progress.
func StateKey(service, id string) string { return StatePrefix(service) + id }

// ChangeKey is the key of a pool's last change of owner. It is written together
// with the ownership, so its revision is the owner's fencing token, and is the last
// of the pool's work: whoever reads or follows that work learns of a later owner
// before any job that was accepted under it.
func ChangeKey(service string) string { return WorkPrefix(service) + "owner" }

// ParseMember returns the entry that a key names, or false.
func ParseMember(key string) (node string, ok bool) { return strings.CutPrefix(key, memberPrefix) }

// ParseOwner returns the service that a key names, or false.
func ParseOwner(key string) (service string, ok bool) { return strings.CutPrefix(key, ownerPrefix) }

// ParseEmpty returns the machine that a key names, or false.
func ParseEmpty(key string) (machine string, ok bool) { return strings.CutPrefix(key, emptyPrefix) }

// ParseJob returns the job that a key of a pool's work names, or false.
func ParseJob(service, key string) (id string, ok bool) {
	return strings.CutPrefix(key, WorkPrefix(service)+"job/")
}

// ParseCancel returns the job whose cancelling a key names, or false.
func ParseCancel(service, key string) (id string, ok bool) {
	return strings.CutPrefix(key, WorkPrefix(service)+"cancel/")
}

// ParseState returns the job whose progress a key holds, or false.
func ParseState(service, key string) (id string, ok bool) {
	return strings.CutPrefix(key, StatePrefix(service))
}
