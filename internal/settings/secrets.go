package settings

// Secrets holds the secrets that authenticate peers and operators. With an
// empty one every remote peer or every change, respectively, is refused.
type Secrets struct {
	PeerKey       string `yaml:"peerKey" validate:"required,min=16"`
	OperatorToken string `yaml:"operatorToken" validate:"required,min=16"`
}
