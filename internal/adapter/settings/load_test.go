package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestLoadReadsFile(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(os.WriteFile(path, []byte(validSettings), 0o600))
	s, err := Load(path)
	is.NoErr(err)
	is.Equal(s.Host, "entry-1")
}

// The example settings of three hosts and of the embedded mode are valid.
func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../../examples/three-hosts/*.yaml")
	is.NoErr(err)
	is.Equal(len(files), 3)
	for _, file := range append(files, "../../../examples/embedded.yaml") {
		_, err := Load(file)
		is.NoErr(err)
	}
}
