package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	// protocolVersion is the lowest version accepted in a hello, and the version that
	// this host sends.
	protocolVersion = 1
	// MaxFrameBytes bounds an encoded frame: the largest value of the store plus
	// 64 KiB for the other fields.
	MaxFrameBytes = port.MaxValueBytes + 64<<10
	// tagBytes is the length of the truncated HMAC-SHA-256 before each frame.
	tagBytes = 16
	// maxArrayElements and maxNestedLevels bound the structures that the decoder
	// builds from a frame.
	maxArrayElements = 1 << 16
	maxNestedLevels  = 8
)

// frameKind is the type of a frame. Receivers ignore unknown kinds.
type frameKind uint8

// A frameMessage has no reply. A frameRequest gets a frameReply with the result, or a
// frameFailure with the error.
const (
	frameMessage frameKind = 1
	frameRequest frameKind = 2
	frameReply   frameKind = 3
	frameFailure frameKind = 4
)

// frame is the unit of transmission on a connection. New fields get new numbers;
// receivers ignore unknown numbers.
type frame struct {
	Kind frameKind `cbor:"1,keyasint"`
	// ID is the same in a request and in its reply or failure. It is unique among the
	// requests that one side of a connection sends; 0 in a message.
	ID uint64 `cbor:"2,keyasint,omitempty"`
	// Request is the kind of a request, which selects the handler of the receiver.
	Request string `cbor:"3,keyasint,omitempty"`
	// TimeoutMs is how long the requester still waits, in milliseconds.
	TimeoutMs uint32 `cbor:"4,keyasint,omitempty"`
	// Payload is the content of a message, a request or a reply.
	Payload []byte `cbor:"5,keyasint,omitempty"`
	// Failure is the error in a failure.
	Failure failure `cbor:"6,keyasint,omitzero"`
}

// failure is the encoded form of a *verdict.Error, without its wrapped cause.
type failure struct {
	_            struct{} `cbor:",toarray"`
	Code         string
	Verdict      string
	Message      string
	RetryAfterMs int64
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxNestedLevels:  maxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// decodeFrame decodes the body of a frame, without its tag.
func decodeFrame(body []byte) (frame, error) {
	var f frame
	if len(body) > MaxFrameBytes {
		return f, errors.Errorf("peer: frame of %d bytes, at most %d allowed", len(body), MaxFrameBytes)
	}
	if err := decoder.Unmarshal(body, &f); err != nil {
		return frame{}, errors.Wrap(err, "peer: decode frame")
	}
	return f, nil
}

// sealer authenticates the frames of one direction of one connection. The tag
// covers the sequence number of the frame, so replayed and reordered frames are
// rejected. It is not safe for concurrent use.
type sealer struct {
	mac          hash.Hash
	nextSequence uint64
}

func newSealer(key []byte) *sealer { return &sealer{mac: hmac.New(sha256.New, key)} }

// nextTag returns the tag of the next frame and increments the sequence number.
func (s *sealer) nextTag(body []byte) []byte {
	var sequence [8]byte
	binary.BigEndian.PutUint64(sequence[:], s.nextSequence)
	s.nextSequence++
	s.mac.Reset()
	s.mac.Write(sequence[:])
	s.mac.Write(body)
	return s.mac.Sum(nil)[:tagBytes]
}

// seal encodes a frame and prepends its tag.
func (s *sealer) seal(f frame) ([]byte, error) {
	body, err := encoder.Marshal(f)
	if err != nil {
		return nil, errors.Wrap(err, "peer: encode frame")
	}
	if len(body) > MaxFrameBytes {
		return nil, errors.Errorf("peer: frame of %d bytes, at most %d allowed", len(body), MaxFrameBytes)
	}
	return append(s.nextTag(body), body...), nil
}

// open verifies the tag of a sealed frame and decodes the frame. Once it has returned
// an error, the connection must be closed.
func (s *sealer) open(sealed []byte) (frame, error) {
	if len(sealed) < tagBytes {
		return frame{}, errors.New("peer: frame shorter than the authentication tag")
	}
	body := sealed[tagBytes:]
	if !hmac.Equal(s.nextTag(body), sealed[:tagBytes]) {
		return frame{}, errors.New("peer: frame authentication failed")
	}
	return decodeFrame(body)
}
