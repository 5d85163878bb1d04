package maintenance_test

import (
	"reflect"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"persimmonbay/internal/fleet"
	"persimmonbay/internal/maintenance"
)

var _ = Describe("the snapshot of a plan", func() {
	It("contains no field for demand or load", func() {
		Expect(fieldsOf(reflect.TypeFor[maintenance.Snapshot]())).To(ConsistOf("Now", "Records", "Listed", "ListedKnown", "Disruptions",
			"Wave", "Roster", "Entries", "Budgets", "ServicePools", "Acknowledgements", "Complete", "LeavingWait"))
		Expect(fieldsOf(reflect.TypeFor[fleet.Instance]())).To(ConsistOf("ID", "Kind", "Service", "Address", "AvailabilityZone", "Rack", "State", "Resources"))
		Expect(fieldsOf(reflect.TypeFor[fleet.Resources]())).To(ConsistOf("MilliCores", "MemoryMB", "Accelerators"), "the capacity of a worker, not its use")
		Expect(fieldsOf(reflect.TypeFor[maintenance.Budget]())).To(ConsistOf("Pool", "Share", "Spare"))
		Expect(foreignTypes(reflect.TypeFor[maintenance.Snapshot](), map[reflect.Type]bool{})).To(BeEmpty())
		Expect(foreignTypes(reflect.TypeFor[maintenance.Policy](), map[reflect.Type]bool{})).To(BeEmpty())
	})
})

func fieldsOf(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Name)
	}
	return names
}

// foreignTypes returns the types that are reachable from t and could hold
// anything but records, lists of instances, waves, budgets and times.
func foreignTypes(t reflect.Type, seen map[reflect.Type]bool) []string {
	if seen[t] {
		return nil
	}
	seen[t] = true
	var found []string
	own := t.PkgPath() == "" || strings.HasSuffix(t.PkgPath(), "/internal/maintenance") || strings.HasSuffix(t.PkgPath(), "/internal/fleet")
	if t.PkgPath() == "time" {
		return nil
	}
	if !own || t.Kind() == reflect.Interface || t.Kind() == reflect.Func || t.Kind() == reflect.Chan {
		found = append(found, t.String())
	}
	switch t.Kind() {
	case reflect.Struct:
		for i := range t.NumField() {
			found = append(found, foreignTypes(t.Field(i).Type, seen)...)
		}
	case reflect.Map:
		found = append(append(found, foreignTypes(t.Key(), seen)...), foreignTypes(t.Elem(), seen)...)
	case reflect.Slice, reflect.Pointer, reflect.Array:
		found = append(found, foreignTypes(t.Elem(), seen)...)
	}
	return found
}
