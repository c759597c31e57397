package origin

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Segment is the form in which a host writes records to the store.
type Segment struct {
	// Epoch is the store's epoch in which it was written.
	Epoch int64 `cbor:"1,keyasint,omitempty"`
	// Endpoints holds where the streams began, without the time.
	Endpoints []Origin        `cbor:"2,keyasint"`
	Streams   []segmentStream `cbor:"3,keyasint"`
}

type segmentStream struct {
	_        struct{} `cbor:",toarray"`
	Attempt  string
	Sequence int
	// Endpoint is an index of Segment.Endpoints.
	Endpoint int
	AtUnixMs int64
}

// EncodeSegment encodes records that are written in an epoch.
func EncodeSegment(epoch int64, records []Record) ([]byte, error) {
	s := Segment{Epoch: epoch}
	for _, r := range records {
		at := r.Origin
		at.AtUnixMs = 0
		i := slices.Index(s.Endpoints, at)
		if i < 0 {
			i = len(s.Endpoints)
			s.Endpoints = append(s.Endpoints, at)
		}
		s.Streams = append(s.Streams, segmentStream{Attempt: r.Attempt, Sequence: r.Sequence, Endpoint: i, AtUnixMs: r.Origin.AtUnixMs})
	}
	return cbor.Marshal(s)
}

// DecodeSegment returns the records of a segment and the epoch in which it was written.
func DecodeSegment(raw []byte) (records []Record, epoch int64, err error) {
	var s Segment
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return nil, 0, errors.Wrap(err, "decode records of streams")
	}
	for _, stream := range s.Streams {
		if stream.Endpoint < 0 || stream.Endpoint >= len(s.Endpoints) {
			return nil, 0, errors.New("record of a stream names no endpoint")
		}
		o := s.Endpoints[stream.Endpoint]
		o.AtUnixMs = stream.AtUnixMs
		records = append(records, Record{Attempt: stream.Attempt, Origin: o, Sequence: stream.Sequence})
	}
	return records, s.Epoch, nil
}

// begunStream is a stream that this host began.
type begunStream struct {
	Record
	route     string
	expiresAt time.Time
}

// maxUnwritten bounds the streams that Unwritten holds.
const maxUnwritten = 4096

// Unwritten holds the streams that a host began and whose records are not in the store,
// until they have ended; the oldest ones are dropped if there are too many. It is not safe
// for concurrent use.
type Unwritten struct{ streams []begunStream }

// Add adds the record of a stream of a route until expiresAt.
func (u *Unwritten) Add(route string, record Record, expiresAt time.Time) {
	if len(u.streams) == maxUnwritten {
		u.streams = slices.Delete(u.streams, 0, maxUnwritten/8)
	}
	u.streams = append(u.streams, begunStream{record, route, expiresAt})
}

// Take removes and returns the records of the routes that wanted names, most at the most,
// the newest ones first. It drops those that have expired.
func (u *Unwritten) Take(now time.Time, most int, wanted func(route string) bool) []Record {
	var taken []Record
	isWanted := make(map[string]bool)
	for i := len(u.streams) - 1; i >= 0; i-- {
		s := u.streams[i]
		if _, known := isWanted[s.route]; !known {
			isWanted[s.route] = wanted(s.route)
		}
		switch {
		case now.After(s.expiresAt):
			u.streams[i].expiresAt = time.Time{}
		case isWanted[s.route] && len(taken) < most:
			taken = append(taken, s.Record)
			u.streams[i].expiresAt = time.Time{}
		}
	}
	u.streams = slices.DeleteFunc(u.streams, func(s begunStream) bool { return s.expiresAt.IsZero() })
	return taken
}
