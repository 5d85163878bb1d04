package replay

// Variant is a combination of an ordering and a sharing of slots to replay.
type Variant struct {
	Order Ordering
	Slots Sharing
}

// DeployedVariant is the combination that entries run.
var DeployedVariant = Variant{Order: OrderFair, Slots: SlotsLent}

// Variants are all combinations to compare, DeployedVariant last.
var Variants = []Variant{
	{OrderFirstCome, SlotsLent}, {OrderPriority, SlotsLent},
	{OrderFair, SlotsFree}, {OrderFair, SlotsStatic}, DeployedVariant,
}
