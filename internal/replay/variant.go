package replay

// Variant is one combination that is weighed.
type Variant struct {
	Order Ordering
	Slots Sharing
}

// DeployedVariant is what entries run.
var DeployedVariant = Variant{Order: OrderFair, Slots: SlotsLent}

// Variants are all that are weighed, the chosen one last.
var Variants = []Variant{
	{OrderFirstCome, SlotsLent}, {OrderPriority, SlotsLent},
	{OrderFair, SlotsFree}, {OrderFair, SlotsStatic}, DeployedVariant,
}
