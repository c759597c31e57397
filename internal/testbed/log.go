package testbed

import (
	"bytes"
	"sync"
)

// maxLogLines bounds the lines that a lastLines keeps.
const maxLogLines = 1000

// lastLines is an io.Writer that keeps the last maxLogLines writes. It is safe for
// concurrent use.
type lastLines struct {
	mu    sync.Mutex
	lines [][]byte
}

// Write implements io.Writer.
func (l *lastLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) == maxLogLines {
		l.lines = l.lines[1:]
	}
	l.lines = append(l.lines, bytes.Clone(line))
	return len(line), nil
}

// String returns the lines kept.
func (l *lastLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(bytes.Join(l.lines, nil))
}
