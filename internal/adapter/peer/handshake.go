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
	// keyIDBytes is the length of a key identifier. It only selects among the few
	// accepted shared keys; the proofs authenticate.
	keyIDBytes = 4
	// MinSharedKeyBytes is the minimum length of a shared key.
	MinSharedKeyBytes = 8
	// maxHelloBytes bounds each message of the handshake.
	maxHelloBytes = 1 << 10
)

// hello is the first message that each side of a connection sends. It describes the
// sending host.
type hello struct {
	// Version is the protocol version of the sender.
	Version     uint8  `cbor:"1,keyasint"`
	Host        string `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"`
	Incarnation uint64 `cbor:"5,keyasint"`
	Nonce       []byte `cbor:"6,keyasint"`
	// KeyID identifies the shared key that the dialling host uses. It is empty in the
	// hello of the accepting host.
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

// keyID returns an identifier of a shared key that does not reveal the key.
func keyID(key []byte) []byte {
	sum := sha256.Sum256(append([]byte("pimentorill key id "), key...))
	return sum[:keyIDBytes]
}

// session is the result of a handshake: the identity of the peer and the frame
// authentication of both directions.
type session struct {
	peer port.Member
	// in verifies received frames, out seals sent ones.
	in  *sealer
	out *sealer
}

// computeProof returns the HMAC-SHA-256 of the label and both encoded hellos, first
// the dialler's, under the shared key. It proves that a host holds the key. The label
// names the side that proves this.
func computeProof(key []byte, label string, hellos ...[]byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	for _, h := range hellos {
		mac.Write(h)
	}
	return mac.Sum(nil)
}

// deriveDirectionKeys derives one key per direction from the shared key and both
// encoded hellos. The nonces in the hellos make the keys unique to the connection.
func deriveDirectionKeys(key, dialler, acceptor []byte) (dialKey, acceptKey []byte, err error) {
	salt := sha256.Sum256(append(append([]byte{}, dialler...), acceptor...))
	dialKey, err = hkdf.Key(sha256.New, key, salt[:], "dialler to acceptor", sha256.Size)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer: derive key")
	}
	acceptKey, err = hkdf.Key(sha256.New, key, salt[:], "acceptor to dialler", sha256.Size)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer: derive key")
	}
	return dialKey, acceptKey, nil
}

// writeHello sends a hello and returns its encoded form.
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

// readHello receives a hello and returns it with its encoded form.
func readHello(ws *websocket.Conn) (hello, []byte, error) {
	_, raw, err := ws.ReadMessage()
	if err != nil {
		return hello{}, nil, errors.Wrap(err, "peer: read hello")
	}
	h, err := decodeHello(raw)
	return h, raw, err
}

// decodeHello decodes and checks a hello. Newer versions are accepted.
func decodeHello(raw []byte) (hello, error) {
	var h hello
	if err := decoder.Unmarshal(raw, &h); err != nil {
		return hello{}, errors.Wrap(err, "peer: decode hello")
	}
	if h.Version < protocolVersion || h.Host == "" || len(h.Nonce) != nonceBytes {
		return hello{}, errors.New("peer: hello has an old version, no host or an invalid nonce")
	}
	return h, nil
}

// dialHandshake performs the handshake on the dialling side. The acceptor sends its
// proof after its hello; the dialler verifies it before it sends its own.
func dialHandshake(ws *websocket.Conn, self port.Member, key []byte) (*session, error) {
	local := newHello(self)
	local.KeyID = keyID(key)
	localRaw, err := writeHello(ws, local)
	if err != nil {
		return nil, err
	}
	remote, remoteRaw, err := readHello(ws)
	if err != nil {
		return nil, err
	}
	_, received, err := ws.ReadMessage()
	if err != nil {
		return nil, errors.Wrap(err, "peer: read proof")
	}
	if !hmac.Equal(received, computeProof(key, "acceptor", localRaw, remoteRaw)) {
		return nil, errors.New("peer: invalid proof: the accepting host does not hold the shared key")
	}
	proof := computeProof(key, "dialler", localRaw, remoteRaw)
	if err := ws.WriteMessage(websocket.BinaryMessage, proof); err != nil {
		return nil, errors.Wrap(err, "peer: send proof")
	}
	out, in, err := deriveDirectionKeys(key, localRaw, remoteRaw)
	if err != nil {
		return nil, err
	}
	return &session{peer: remote.toMember(), in: newSealer(in), out: newSealer(out)}, nil
}

// acceptHandshake performs the handshake on the accepting side, with the shared
// key that the dialler's hello identifies.
func acceptHandshake(ws *websocket.Conn, self port.Member, keys [][]byte) (*session, error) {
	remote, remoteRaw, err := readHello(ws)
	if err != nil {
		return nil, err
	}
	key, ok := findKey(keys, remote.KeyID)
	if !ok {
		return nil, errors.New("peer: the dialling host uses an unknown shared key")
	}
	localRaw, err := writeHello(ws, newHello(self))
	if err != nil {
		return nil, err
	}
	proof := computeProof(key, "acceptor", remoteRaw, localRaw)
	if err := ws.WriteMessage(websocket.BinaryMessage, proof); err != nil {
		return nil, errors.Wrap(err, "peer: send proof")
	}
	_, received, err := ws.ReadMessage()
	if err != nil {
		return nil, errors.Wrap(err, "peer: read proof")
	}
	if !hmac.Equal(received, computeProof(key, "dialler", remoteRaw, localRaw)) {
		return nil, errors.New("peer: invalid proof: the dialling host does not hold the shared key")
	}
	in, out, err := deriveDirectionKeys(key, remoteRaw, localRaw)
	if err != nil {
		return nil, err
	}
	return &session{peer: remote.toMember(), in: newSealer(in), out: newSealer(out)}, nil
}

// findKey returns the shared key that has the identifier.
func findKey(keys [][]byte, id []byte) ([]byte, bool) {
	for _, k := range keys {
		if hmac.Equal(keyID(k), id) {
			return k, true
		}
	}
	return nil, false
}
