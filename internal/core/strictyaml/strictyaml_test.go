package strictyaml

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

type doc struct {
	Name  string   `yaml:"name"`
	Items []string `yaml:"items"`
}

func TestDecodeRejectsInvalidInputWithoutPanic(t *testing.T) {
	for name, text := range map[string]string{
		"empty":          " \n",
		"unknown key":    "nome: x", // the field is "name"
		"library panics": "items: !00\n000 0",
		"deep brackets":  "items: " + strings.Repeat("[", 200_000),
		"deep block":     strings.Repeat("- ", 200_000),
	} {
		var d doc
		if err := Decode([]byte(text), &d); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestDecodeFillsTheStruct(t *testing.T) {
	is := is.New(t)
	var d doc
	is.NoErr(Decode([]byte("name: x\nitems: [a, b]"), &d))
	is.Equal(d, doc{Name: "x", Items: []string{"a", "b"}})
}
