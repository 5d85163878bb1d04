package ledger

// Decide exports decide for the model check.
var Decide = decide
