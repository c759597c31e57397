package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	namedTest = regexp.MustCompile(`\b(?:Test|Benchmark)[A-Z]\w+`)
	pageLink  = regexp.MustCompile(`\]\(([^)#:]+\.md)\)`)
)

// walk calls fn with each file below root that has the suffix.
func walk(t *testing.T, root, suffix string, fn func(path, text string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, suffix) {
			return err
		}
		data, err := os.ReadFile(path)
		if err == nil {
			fn(path, string(data))
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestPagesNameTestsThatExist(t *testing.T) {
	is := is.New(t)
	var code strings.Builder
	for _, root := range []string{"../internal", "../bench", "../platform"} {
		walk(t, root, "_test.go", func(_, text string) { code.WriteString(text) })
	}
	page, err := os.ReadFile("promises.md")
	is.NoErr(err)
	names := namedTest.FindAllString(string(page), -1)
	is.True(len(names) > 0)
	for _, name := range names {
		if !strings.Contains(code.String(), "func "+name+"(") {
			t.Errorf("promises.md names %s, which does not exist", name)
		}
	}
}

func TestLinksBetweenPagesLead(t *testing.T) {
	walk(t, ".", ".md", func(path, text string) {
		for _, m := range pageLink.FindAllStringSubmatch(text, -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), m[1])); err != nil {
				t.Errorf("%s links to %s, which does not exist", path, m[1])
			}
		}
	})
}
