package coldstart

import "flag"

// init fixes the seed of the rapid tests; the flag -rapid.seed sets another.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
