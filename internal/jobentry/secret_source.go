package jobentry

// secretSource returns the secret that the entries share.
type secretSource interface {
	// Secret returns the secret, nil while there is none, and a channel that is closed
	// when it may have changed.
	Secret() ([]byte, <-chan struct{})
}
