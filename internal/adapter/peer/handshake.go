package peer

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/fasthttp/websocket"
	"github.com/go-faster/errors"

	"github.com/pimentorill/pimentorill/internal/port"
)

const (
	nonceBytes = 16
	keyIDBytes = 4
	// MinSharedKeyBytes is the shortest shared key allowed.
	MinSharedKeyBytes = 8
	// maxHelloBytes bounds the messages of the handshake.
	maxHelloBytes = 1 << 10
)

// hello opens a connection, from both sides.
type hello struct {
	Version     uint8  `cbor:"1,keyasint"`
	Host        string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Nonce       []byte `cbor:"6,keyasint"`
	// KeyID tells which of the shared keys the dialling host uses.
	KeyID []byte `cbor:"7,keyasint,omitempty"`
}

func (h hello) toMember() port.Member {
	return port.Member{ID: h.Host, AvailabilityZone: h.Zone, Address: h.Address, Incarnation: h.Incarnation}
}

func newHello(self port.Member) hello {
	nonce := make([]byte, nonceBytes)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(nonce)
	return hello{Version: protocolVersion, Host: self.ID, Zone: self.AvailabilityZone,
		Address: self.Address, Incarnation: self.Incarnation, Nonce: nonce}
}

// keyID names a shared key without giving it away.
func keyID(key []byte) []byte {
	sum := sha256.Sum256(append([]byte("pimentorill key id "), key...))
	return sum[:keyIDBytes]
}

// session is what the handshake yields: who the other host is and the
// authentication of both directions.
type session struct {
	peer port.Member
	in   *sealer
	out  *sealer
}

// proof is the HMAC of a label and both hellos' encodings under the shared key.
func computeProof(key []byte, label string, parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	for _, p := range parts {
		mac.Write(p)
	}
	return mac.Sum(nil)
}

// deriveDirectionKeys derives the keys of both directions from the shared key and
// both hellos, whose nonces make them new for each connection.
func deriveDirectionKeys(key, dialler, acceptor []byte) (out, in []byte, err error) {
	salt := sha256.Sum256(append(append([]byte{}, dialler...), acceptor...))
	out, err = hkdf.Key(sha256.New, key, salt[:], "dialler to acceptor", sha256.Size)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer: derive key")
	}
	in, err = hkdf.Key(sha256.New, key, salt[:], "acceptor to dialler", sha256.Size)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer: derive key")
	}
	return out, in, nil
}

func writeHello(ws *websocket.Conn, h hello) ([]byte, error) {
	raw, err := encoder.Marshal(h)
	if err != nil {
		return nil, errors.Wrap(err, "peer: encode hello")
	}
	if err := ws.WriteMessage(websocket.BinaryMessage, raw); err != nil {
		return nil, errors.Wrap(err, "peer: send hello")
	}
	return raw, nil
}

func readHello(ws *websocket.Conn) (hello, []byte, error) {
	_, raw, err := ws.ReadMessage()
	if err != nil {
		return hello{}, nil, errors.Wrap(err, "peer: read hello")
	}
	h, err := decodeHello(raw)
	return h, raw, err
}

func decodeHello(raw []byte) (hello, error) {
	var h hello
	if err := decoder.Unmarshal(raw, &h); err != nil {
		return hello{}, errors.Wrap(err, "peer: decode hello")
	}
	if h.Version < protocolVersion || h.Host == "" || len(h.Nonce) != nonceBytes {
		return hello{}, errors.New("peer: hello incomplete")
	}
	return h, nil
}

// dialHandshake authenticates both sides from the dialling side. The
// acceptor proves itself first; the dialler's proof is its first message.
func dialHandshake(ws *websocket.Conn, self port.Member, key []byte) (*session, error) {
	mine := newHello(self)
	mine.KeyID = keyID(key)
	rawMine, err := writeHello(ws, mine)
	if err != nil {
		return nil, err
	}
	theirs, rawTheirs, err := readHello(ws)
	if err != nil {
		return nil, err
	}
	_, given, err := ws.ReadMessage()
	if err != nil {
		return nil, errors.Wrap(err, "peer: read proof")
	}
	if !hmac.Equal(given, computeProof(key, "acceptor", rawMine, rawTheirs)) {
		return nil, errors.New("peer: accepting host doesn't hold the shared key")
	}
	own := computeProof(key, "dialler", rawMine, rawTheirs)
	if err := ws.WriteMessage(websocket.BinaryMessage, own); err != nil {
		return nil, errors.Wrap(err, "peer: send proof")
	}
	out, in, err := deriveDirectionKeys(key, rawMine, rawTheirs)
	if err != nil {
		return nil, err
	}
	return &session{peer: theirs.toMember(), in: newSealer(in), out: newSealer(out)}, nil
}

// acceptHandshake authenticates both sides from the accepting side.
func acceptHandshake(ws *websocket.Conn, self port.Member, keys [][]byte) (*session, error) {
	theirs, rawTheirs, err := readHello(ws)
	if err != nil {
		return nil, err
	}
	key, ok := findKey(keys, theirs.KeyID)
	if !ok {
		return nil, errors.New("peer: dialling host uses an unknown key")
	}
	rawMine, err := writeHello(ws, newHello(self))
	if err != nil {
		return nil, err
	}
	own := computeProof(key, "acceptor", rawTheirs, rawMine)
	if err := ws.WriteMessage(websocket.BinaryMessage, own); err != nil {
		return nil, errors.Wrap(err, "peer: send proof")
	}
	_, given, err := ws.ReadMessage()
	if err != nil {
		return nil, errors.Wrap(err, "peer: read proof")
	}
	if !hmac.Equal(given, computeProof(key, "dialler", rawTheirs, rawMine)) {
		return nil, errors.New("peer: dialling host doesn't hold the shared key")
	}
	in, out, err := deriveDirectionKeys(key, rawTheirs, rawMine)
	if err != nil {
		return nil, err
	}
	return &session{peer: theirs.toMember(), in: newSealer(in), out: newSealer(out)}, nil
}

func findKey(keys [][]byte, id []byte) ([]byte, bool) {
	for _, k := range keys {
		if hmac.Equal(keyID(k), id) {
			return k, true
		}
	}
	return nil, false
}
