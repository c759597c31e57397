package pipeline

import (
	"strings"
	"sync"
)

// stream merges the tokens of a stage's attempts into one sequence. The first
// attempt that emits a token owns the stream until it fails; tokens of other
// attempts are dropped. A later attempt resumes after the tokens already
// emitted. It is safe for concurrent use.
type stream struct {
	mu sync.Mutex
	// out receives each token with mu held; nil discards them.
	out func(text string)
	// owner is the id of the attempt that owns the stream; empty if none does.
	owner string
	// tokens and text are the number and the text of the tokens emitted so far.
	tokens int
	text   strings.Builder
	closed bool
	// onFirstToken is called without locks held when an attempt becomes the
	// owner.
	onFirstToken func(attemptID string)
}

// writer returns the token callback of an attempt that resumes after resumeAt
// tokens.
func (s *stream) writer(attemptID string, resumeAt int) func(text string) {
	return func(text string) {
		if s.write(attemptID, resumeAt, text) {
			s.onFirstToken(attemptID)
		}
	}
}

// write emits a token if the attempt owns the stream, and reports whether it
// became the owner with this token. An attempt whose resume position differs
// from the stream's position cannot become the owner.
func (s *stream) write(attemptID string, resumeAt int, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	becameOwner := false
	if s.owner == "" && !s.closed && s.tokens == resumeAt {
		s.owner = attemptID
		becameOwner = true
	}
	if s.closed || s.owner != attemptID {
		return false
	}
	s.tokens++
	s.text.WriteString(text)
	if s.out != nil {
		s.out(text)
	}
	return becameOwner
}

// releaseOwner ends the attempt's ownership of the stream, if it has it.
func (s *stream) releaseOwner(attemptID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == attemptID {
		s.owner = ""
	}
}

// close makes the stream drop all further tokens.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// position returns the number and the text of the tokens emitted so far.
func (s *stream) position() (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens, s.text.String()
}

// tokensOwnedBy returns the stream's token count if the attempt owns the
// stream, 0 otherwise.
func (s *stream) tokensOwnedBy(attemptID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner != attemptID {
		return 0
	}
	return s.tokens
}

// accepts reports whether the attempt's response continues the emitted tokens:
// the attempt owns the stream, or no attempt does and it resumes at the stream's
// position.
func (s *stream) accepts(attemptID string, resumeAt int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == "" {
		return s.tokens == resumeAt
	}
	return s.owner == attemptID
}
