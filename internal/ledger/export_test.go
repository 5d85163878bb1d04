package ledger

// Decide is decide, for the model check.
var Decide = decide
