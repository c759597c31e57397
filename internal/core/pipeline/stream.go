package pipeline

import (
	"strings"
	"sync"
)

// stream joins the tokens of a stage's attempts into one sequence. The first
// attempt that gives a token owns the stream until it fails; tokens of others
// are dropped. A later attempt goes on behind the tokens already given. It is
// safe for concurrent use.
type stream struct {
	mu     sync.Mutex
	out    func(text string)
	owner  string
	tokens int
	text   strings.Builder
	closed bool
	// onFirstToken is called when an attempt becomes the owner.
	onFirstToken func(attemptID string)
}

// writer returns the function that takes the tokens of an attempt that goes
// on behind the given number of tokens.
func (s *stream) writer(attemptID string, resume int) func(text string) {
	return func(text string) {
		if s.write(attemptID, resume, text) {
			s.onFirstToken(attemptID)
		}
	}
}

// write passes a token on if the attempt owns the stream. It reports whether
// the attempt has just become the owner. An attempt that goes on from another
// place than the stream has reached cannot become it.
func (s *stream) write(attemptID string, resume int, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	claimed := false
	if s.owner == "" && !s.closed && s.tokens == resume {
		s.owner = attemptID
		claimed = true
	}
	if s.closed || s.owner != attemptID {
		return false
	}
	s.tokens++
	s.text.WriteString(text)
	if s.out != nil {
		s.out(text)
	}
	return claimed
}

// release takes the stream from a failed attempt.
func (s *stream) releaseOwner(attemptID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == attemptID {
		s.owner = ""
	}
}

// close drops all later tokens.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// position returns the number of tokens given and their text.
func (s *stream) position() (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens, s.text.String()
}

// owns returns how many tokens there are if the attempt owns the stream, 0 if
// it does not.
func (s *stream) tokensOwnedBy(attemptID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner != attemptID {
		return 0
	}
	return s.tokens
}

// allows reports whether the attempt's answer continues what was given: it
// owns the stream, or nobody does and it goes on from where the stream is.
func (s *stream) accepts(attemptID string, resume int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owner == "" {
		return s.tokens == resume
	}
	return s.owner == attemptID
}
