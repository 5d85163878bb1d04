package identity

import "persimmonbay/internal/poolconfig"

// configurationDirectory is the directory of one configuration.
type configurationDirectory struct {
	configuration *poolconfig.Configuration
	directory     *Directory
}
