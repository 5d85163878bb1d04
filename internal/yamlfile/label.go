package yamlfile

import (
	"regexp"

	"github.com/go-playground/validator/v10"
)

// label is what a name may be: it stands in URLs, keys and logs.
var label = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

// labelExpectation says what a label is.
const labelExpectation = "expected a name of letters, digits, - and _, 63 at most"

func isLabel(field validator.FieldLevel) bool { return label.MatchString(field.Field().String()) }
