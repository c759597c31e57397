package cli

import (
	"os"

	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/core/strictyaml"
)

// Config holds the addresses of a host and the identity of the user.
type Config struct {
	// Callers is the base URL of the callers' API, http://IP:PORT.
	Callers string `yaml:"callers"`
	// Operators is the base URL of the operators' API, http://IP:PORT.
	Operators string `yaml:"operators"`
	// Token is the bearer token of operators.
	Token string `yaml:"token"`
	// Customer is the customer on whose behalf requests are sent.
	Customer string `yaml:"customer"`
	// Actor is the name of the operator in the audit trail. The default is $USER; the
	// host records "operator" if it is empty.
	Actor string `yaml:"actor"`
}

// loadConfig returns the defaults, overridden by the config file, if there is one,
// and by the environment. The file is path, or PIMENTORILL_CONFIG if path is empty.
func loadConfig(path string, getenv func(string) string) (Config, error) {
	c := Config{Callers: "http://127.0.0.1:8700", Operators: "http://127.0.0.1:8701"}
	if path == "" {
		path = getenv("PIMENTORILL_CONFIG")
	}
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return c, errors.Wrap(err, "config")
		}
		if err := strictyaml.Decode(data, &c); err != nil {
			return c, errors.Wrapf(err, "config %s", path)
		}
	}
	for key, field := range map[string]*string{
		"PIMENTORILL_CALLERS": &c.Callers, "PIMENTORILL_OPERATORS": &c.Operators, "PIMENTORILL_TOKEN": &c.Token,
		"PIMENTORILL_CUSTOMER": &c.Customer, "PIMENTORILL_ACTOR": &c.Actor,
	} {
		if v := getenv(key); v != "" {
			*field = v
		}
	}
	if c.Actor == "" {
		c.Actor = getenv("USER")
	}
	return c, nil
}
