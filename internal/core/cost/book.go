package cost

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Book holds one host's totals since the host's start, or since its last sealed
// book, as written to the store under one key.
type Book struct {
	// ID is unique across all hosts and their restarts.
	ID string
	// WrittenAt is the time at which Rows were taken from the ledger.
	WrittenAt time.Time
	// Sealed says that the book is final and its host must start a new one.
	Sealed bool
	Rows   []Row
}

// Archive holds the totals of the sealed books that were added to it.
type Archive struct {
	Rows []Row
	// ArchivedIDs are the ids of books that are included in Rows and may still
	// be in the store.
	ArchivedIDs []string
}

// stringTable assigns indexes to the strings of rows, which repeat often.
type stringTable struct {
	strings []string
	indexes map[string]int
}

// indexOf returns the index of s and adds s to the table if it is new.
func (t *stringTable) indexOf(s string) int64 {
	i, ok := t.indexes[s]
	if !ok {
		i = len(t.strings)
		t.strings = append(t.strings, s)
		t.indexes[s] = i
	}
	return int64(i)
}

// encodedBook is the CBOR form of books and archives. WrittenAt is in Unix
// milliseconds, 0 in archives. A row holds the indexes in Strings of its
// customer, pipeline, stage and cause, and then attempts and amount.
type encodedBook struct {
	ID          string     `cbor:"1,keyasint,omitempty"`
	WrittenAt   int64      `cbor:"2,keyasint,omitempty"`
	Sealed      bool       `cbor:"3,keyasint,omitempty"`
	Strings     []string   `cbor:"4,keyasint"`
	Rows        [][6]int64 `cbor:"5,keyasint"`
	ArchivedIDs []string   `cbor:"6,keyasint,omitempty"`
}

// Encode returns the book in its stored form.
func (b Book) Encode() ([]byte, error) {
	e := encodedBook{ID: b.ID, WrittenAt: b.WrittenAt.UnixMilli(), Sealed: b.Sealed}
	e.setRows(b.Rows)
	return cbor.Marshal(e)
}

// DecodeBook decodes what Book.Encode returned.
func DecodeBook(data []byte) (Book, error) {
	e, rows, err := decode(data)
	return Book{ID: e.ID, WrittenAt: time.UnixMilli(e.WrittenAt), Sealed: e.Sealed, Rows: rows}, err
}

// Encode returns the archive in its stored form.
func (a Archive) Encode() ([]byte, error) {
	e := encodedBook{ArchivedIDs: a.ArchivedIDs}
	e.setRows(a.Rows)
	return cbor.Marshal(e)
}

// DecodeArchive decodes what Archive.Encode returned; empty data is an empty
// archive.
func DecodeArchive(data []byte) (Archive, error) {
	if len(data) == 0 {
		return Archive{}, nil
	}
	e, rows, err := decode(data)
	return Archive{Rows: rows, ArchivedIDs: e.ArchivedIDs}, err
}

// setRows sets Strings and Rows.
func (e *encodedBook) setRows(rows []Row) {
	table := stringTable{indexes: map[string]int{}}
	for _, r := range rows {
		e.Rows = append(e.Rows, [6]int64{
			table.indexOf(r.Customer), table.indexOf(r.Pipeline), table.indexOf(r.Stage), table.indexOf(string(r.Cause)), r.Attempts, r.Amount,
		})
	}
	e.Strings = table.strings
}

// decode decodes a book or an archive, with its rows.
func decode(data []byte) (encodedBook, []Row, error) {
	var e encodedBook
	if err := cbor.Unmarshal(data, &e); err != nil {
		return encodedBook{}, nil, errors.Wrap(err, "decode book")
	}
	rows := make([]Row, 0, len(e.Rows))
	for _, r := range e.Rows {
		for _, i := range r[:4] {
			if i < 0 || i >= int64(len(e.Strings)) {
				return encodedBook{}, nil, errors.Errorf("decode book: string index %d is out of range", i)
			}
		}
		key := Key{Customer: e.Strings[r[0]], Pipeline: e.Strings[r[1]], Stage: e.Strings[r[2]], Cause: Cause(e.Strings[r[3]])}
		rows = append(rows, Row{Key: key, Attempts: r[4], Amount: r[5]})
	}
	return e, rows, nil
}

// Subtract returns rows minus base, without rows that become zero. Every key in
// base must also be in rows.
func Subtract(rows, base []Row) []Row {
	negative := make([]Row, len(base))
	for i, r := range base {
		negative[i] = Row{Key: r.Key, Attempts: -r.Attempts, Amount: -r.Amount}
	}
	var out []Row
	for _, r := range Merge(rows, negative) {
		if r.Attempts != 0 || r.Amount != 0 {
			out = append(out, r)
		}
	}
	return out
}
