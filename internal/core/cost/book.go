package cost

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Book holds one host's totals since the host's start, or since its last sealed
// book, as written to the store under one key.
type Book struct {
	ID        string
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
func (n *stringTable) indexOf(s string) int64 {
	i, ok := n.indexes[s]
	if !ok {
		i = len(n.strings)
		n.strings = append(n.strings, s)
		n.indexes[s] = i
	}
	return int64(i)
}

// encodedBook is the CBOR form of books and archives. A row holds the indexes in
// Names of its customer, pipeline, stage and cause, and then attempts and amount.
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
	w := encodedBook{ID: b.ID, WrittenAt: b.WrittenAt.UnixMilli(), Sealed: b.Sealed}
	w.setRows(b.Rows)
	return cbor.Marshal(w)
}

// DecodeBook decodes what Book.Encode returned.
func DecodeBook(data []byte) (Book, error) {
	w, rows, err := decode(data)
	return Book{ID: w.ID, WrittenAt: time.UnixMilli(w.WrittenAt), Sealed: w.Sealed, Rows: rows}, err
}

// Encode returns the archive in its stored form.
func (a Archive) Encode() ([]byte, error) {
	w := encodedBook{ArchivedIDs: a.ArchivedIDs}
	w.setRows(a.Rows)
	return cbor.Marshal(w)
}

// DecodeArchive decodes what Archive.Encode returned; empty data is an empty
// archive.
func DecodeArchive(data []byte) (Archive, error) {
	if len(data) == 0 {
		return Archive{}, nil
	}
	w, rows, err := decode(data)
	return Archive{Rows: rows, ArchivedIDs: w.ArchivedIDs}, err
}

func (w *encodedBook) setRows(rows []Row) {
	n := stringTable{indexes: map[string]int{}}
	for _, r := range rows {
		w.Rows = append(w.Rows, [6]int64{
			n.indexOf(r.Customer), n.indexOf(r.Pipeline), n.indexOf(r.Stage), n.indexOf(string(r.Cause)), r.Attempts, r.Amount,
		})
	}
	w.Strings = n.strings
}

func decode(data []byte) (encodedBook, []Row, error) {
	var w encodedBook
	if err := cbor.Unmarshal(data, &w); err != nil {
		return encodedBook{}, nil, errors.Wrap(err, "decode book")
	}
	rows := make([]Row, 0, len(w.Rows))
	for _, r := range w.Rows {
		for _, i := range r[:4] {
			if i < 0 || i >= int64(len(w.Strings)) {
				return encodedBook{}, nil, errors.Errorf("decode book: name index %d is out of range", i)
			}
		}
		key := Key{Customer: w.Strings[r[0]], Pipeline: w.Strings[r[1]], Stage: w.Strings[r[2]], Cause: Cause(w.Strings[r[3]])}
		rows = append(rows, Row{Key: key, Attempts: r[4], Amount: r[5]})
	}
	return w, rows, nil
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
