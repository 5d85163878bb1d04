package replay

// Way is one combination that is weighed.
type Way struct {
	Order Ordering
	Slots Sharing
}

// Chosen is what entries run.
var Chosen = Way{Order: OrderFair, Slots: SlotsLent}

// Ways are all that are weighed, the chosen one last.
var Ways = []Way{
	{OrderFirstCome, SlotsLent}, {OrderPriority, SlotsLent},
	{OrderFair, SlotsFree}, {OrderFair, SlotsStatic}, Chosen,
}
