package settings

// Secrets holds what peers and operators prove themselves with. An empty
// secret refuses every remote peer or change.
type Secrets struct {
	PeerKey       string `yaml:"peerKey" validate:"required,min=16"`
	OperatorToken string `yaml:"operatorToken" validate:"required,min=16"`
}
