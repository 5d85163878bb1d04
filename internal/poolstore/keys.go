package poolstore

import "strings"

// Prefixes of the keys of running entries and pools' owners.
const (
	FleetPrefix  = "fleet/"
	memberPrefix = "fleet/member/"
	ownerPrefix  = "fleet/owner/"
)

// RequestPrefix is the prefix of the machine controller's requests to pools. Only the
// owners of pools and the machine controller watch it.
const (
	RequestPrefix = "asked/"
	emptyPrefix   = "asked/empty/"
	recallPrefix  = "asked/recall/"
)

// ReportPrefix is the prefix of the pools' reports to the machine controller.
const (
	ReportPrefix = "duty/"
	needPrefix   = "duty/need/"
	kindsPrefix  = "duty/kinds/"
	offerPrefix  = "duty/offer/"
)

// NeedKey returns the key of the number of further machines that a pool needs.
func NeedKey(service string) string { return needPrefix + service }

// KindsKey returns the key of the kinds of machines that a pool needs.
func KindsKey(service string) string { return kindsPrefix + service }

// ParseKinds returns the service in a key of KindsKey, or false for another key.
func ParseKinds(key string) (service string, ok bool) { return strings.CutPrefix(key, kindsPrefix) }

// OfferKey returns the key of a machine that its pool can spare.
func OfferKey(machine string) string { return offerPrefix + machine }

// OfferPrefix is the prefix of the machines that pools can spare.
const OfferPrefix = offerPrefix

// ParseNeed returns the service in a key of NeedKey, or false for another key.
func ParseNeed(key string) (service string, ok bool) { return strings.CutPrefix(key, needPrefix) }

// ParseOffer returns the machine in a key of OfferKey, or false for another key.
func ParseOffer(key string) (machine string, ok bool) { return strings.CutPrefix(key, offerPrefix) }

// SecretKey is the key of the secret with which entries authenticate to each other.
const SecretKey = "fleet/secret"

// OwnMachinesKey is the key of the numbers of machines that belong to each pool.
const OwnMachinesKey = "fleet/home"

// RecallKey returns the key of the number of machines that a pool has to give up.
func RecallKey(service string) string { return recallPrefix + service }

// ParseRecall returns the service in a key of RecallKey, or false for another key.
func ParseRecall(key string) (service string, ok bool) { return strings.CutPrefix(key, recallPrefix) }

// MemberKey returns the key of a running entry.
func MemberKey(entry string) string { return memberPrefix + entry }

// OwnerKey returns the key of a pool's owner.
func OwnerKey(service string) string { return ownerPrefix + service }

// EmptyRequestKey returns the key of a machine that is to be emptied.
func EmptyRequestKey(machine string) string { return emptyPrefix + machine }

// RosterKey returns the key of a pool's roster.
func RosterKey(service string) string { return "roster/" + service }

// JobsPrefix returns the prefix of the keys that a pool's owner watches for its
// jobs.
func JobsPrefix(service string) string { return "work/" + service + "/" }

// JobKey returns the key of an accepted job.
func JobKey(service, id string) string { return JobsPrefix(service) + "job/" + id }

// CancelKey returns the key of a job's cancellation.
func CancelKey(service, id string) string { return CancelsPrefix(service) + id }

// CancelsPrefix returns the prefix of the cancellations of a pool's jobs.
func CancelsPrefix(service string) string { return JobsPrefix(service) + "cancel/" }

// StatePrefix returns the prefix of the progress of a pool's jobs.
func StatePrefix(service string) string { return "state/" + service + "/" }

// StateKey returns the key of a job's progress.
func StateKey(service, id string) string { return StatePrefix(service) + id }

// OwnerChangeKey returns the key of a pool's last change of owner. It is written in the
// same transaction as the ownership, so its revision is the owner's fencing token. It
// sorts last among the pool's work keys: a read of these keys, in their order, that
// returns a job accepted under a later owner also returns the change to that owner,
// and a watch returns the change before the job.
func OwnerChangeKey(service string) string { return JobsPrefix(service) + "owner" }

// ParseMember returns the entry in a key of MemberKey, or false for another key.
func ParseMember(key string) (entry string, ok bool) { return strings.CutPrefix(key, memberPrefix) }

// ParseOwner returns the service in a key of OwnerKey, or false for another key.
func ParseOwner(key string) (service string, ok bool) { return strings.CutPrefix(key, ownerPrefix) }

// ParseEmptyRequest returns the machine in a key of EmptyRequestKey, or false for
// another key.
func ParseEmptyRequest(key string) (machine string, ok bool) {
	return strings.CutPrefix(key, emptyPrefix)
}

// ParseJob returns the job in a key of JobKey, or false for another key.
func ParseJob(service, key string) (id string, ok bool) {
	return strings.CutPrefix(key, JobsPrefix(service)+"job/")
}

// ParseCancel returns the job in a key of CancelKey, or false for another key.
func ParseCancel(service, key string) (id string, ok bool) {
	return strings.CutPrefix(key, CancelsPrefix(service))
}

// ParseState returns the job in a key of StateKey, or false for another key.
func ParseState(service, key string) (id string, ok bool) {
	return strings.CutPrefix(key, StatePrefix(service))
}
