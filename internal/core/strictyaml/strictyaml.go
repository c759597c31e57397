// Package strictyaml decodes untrusted YAML: it rejects unknown keys and never
// panics.
package strictyaml

import (
	"bytes"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
)

// maxNestedBrackets limits the number of brackets that are open at a time, and so
// the nesting depth of flow collections.
const maxNestedBrackets = 64

// maxIndentBytes limits the indentation of a line, and so the nesting depth of
// block collections. Leading "-" and "?" count as indentation, because each opens
// a nested block collection.
const maxIndentBytes = 128

// Decode parses data into v, a pointer to a struct. Empty input, unknown keys,
// type mismatches and excessive nesting are errors; the message contains the
// line if the library reports it.
func Decode(data []byte, v any) (err error) {
	if len(bytes.TrimSpace(data)) == 0 {
		return errors.New("empty document")
	}
	if exceedsMaxNesting(data) {
		return errors.Errorf("nested too deep: at most %d brackets and %d bytes of indentation", maxNestedBrackets, maxIndentBytes)
	}
	// The library panics on some malformed documents.
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("malformed document: %v", p)
		}
	}()
	return yaml.UnmarshalWithOptions(data, v, yaml.Strict())
}

// exceedsMaxNesting reports whether the document exceeds maxNestedBrackets or
// maxIndentBytes. It does not parse the document, so it also counts brackets in
// strings; maxNestedBrackets is large enough to allow for them.
func exceedsMaxNesting(data []byte) bool {
	openBrackets := 0
	indent, inIndent := 0, true
	for _, c := range data {
		switch c {
		case '[', '{':
			openBrackets++
		case ']', '}':
			openBrackets = max(0, openBrackets-1)
		}
		switch {
		case c == '\n':
			indent, inIndent = 0, true
		case inIndent && (c == ' ' || c == '-' || c == '\t' || c == '?'):
			indent++
		default:
			inIndent = false
		}
		if openBrackets > maxNestedBrackets || indent > maxIndentBytes {
			return true
		}
	}
	return false
}
