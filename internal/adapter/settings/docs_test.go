package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// settingKeys returns the dotted YAML keys of a settings struct.
func settingKeys(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("yaml")
		if f.Type.Kind() == reflect.Struct {
			out = append(out, settingKeys(f.Type, key+".")...)
			continue
		}
		out = append(out, key)
	}
	return out
}

// docs/settings.md has a table row for every key.
func TestSettingsPageListsEveryKey(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/settings.md")
	is.NoErr(err)
	for _, key := range settingKeys(reflect.TypeOf(Settings{}), "") {
		if !strings.Contains(string(page), "| `"+key+"` |") {
			t.Errorf("docs/settings.md does not name %s", key)
		}
	}
}
