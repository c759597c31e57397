package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/pimentorill/pimentorill/internal/port"
)

// oddHeads are headers that no sound server sends, each before a line that ends it.
var oddHeads = map[string]string{
	"status 000":                    "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n",
	"status 001":                    "HTTP/1.1 001 OK\r\nContent-Length: 2\r\n",
	"status 099":                    "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n",
	"status 600":                    "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n",
	"status 999":                    "HTTP/1.1 999 OK\r\nContent-Length: 2\r\n",
	"status of two digits":          "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n",
	"status of four digits":         "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n",
	"signed status":                 "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n",
	"two blanks before the status":  "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n",
	"control byte in the reason":    "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n",
	"carriage return in the reason": "HTTP/1.1 200 O\rK\r\nContent-Length: 2\r\n",
	"other protocol":                "HTTX/1.1 200 OK\r\nContent-Length: 2\r\n",
	"blank in a name":               "HTTP/1.1 200 OK\r\nX Id: a\r\nContent-Length: 2\r\n",
	"blank in Content-Length":       "HTTP/1.1 200 OK\r\nContent -Length: 2\r\n",
	"blank before the colon":        "HTTP/1.1 200 OK\r\nX-Id : a\r\nContent-Length: 2\r\n",
	"tab before the colon":          "HTTP/1.1 200 OK\r\nContent-Length\t: 2\r\n",
	"folded line":                   "HTTP/1.1 200 OK\r\nX-Id: a\r\n b: c\r\nContent-Length: 2\r\n",
	"control byte in a name":        "HTTP/1.1 200 OK\r\nX\x01Id: a\r\nContent-Length: 2\r\n",
	"zero byte in a name":           "HTTP/1.1 200 OK\r\nX\x00Id: a\r\nContent-Length: 2\r\n",
	"delete byte in a name":         "HTTP/1.1 200 OK\r\nX\x7fId: a\r\nContent-Length: 2\r\n",
	"carriage return in a name":     "HTTP/1.1 200 OK\r\nX\rId: a\r\nContent-Length: 2\r\n",
	"byte above 127 in a name":      "HTTP/1.1 200 OK\r\nX\xc3\xa4: a\r\nContent-Length: 2\r\n",
	"separator in a name":           "HTTP/1.1 200 OK\r\nX(Id): a\r\nContent-Length: 2\r\n",
	"no name":                       "HTTP/1.1 200 OK\r\n: a\r\nContent-Length: 2\r\n",
	"no colon":                      "HTTP/1.1 200 OK\r\nX-Id\r\nContent-Length: 2\r\n",
	"control byte in a value":       "HTTP/1.1 200 OK\r\nX-Id: a\x01\r\nContent-Length: 2\r\n",
	"carriage return in a value":    "HTTP/1.1 200 OK\r\nX-Id: a\rb\r\nContent-Length: 2\r\n",
	"odd interim response":          "HTTP/1.1 103 Early Hints\r\nX Id: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
	"odd head after an interim one": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 2\r\n",
	"line feeds":                    "HTTP/1.1 200 OK\nContent-Length: 2\n",
	"line feed in a line":           "HTTP/1.1 200 OK\r\nX-A: a\nContent-Length: 2\r\n",
	"signed length":                 "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n",
	"two lengths":                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n",
}

// TestOddHeadIsNoResponse guards against responses that pass with another status, field or end than
// their server may have meant.
func TestOddHeadIsNoResponse(t *testing.T) {
	for name, head := range oddHeads {
		for _, earlier := range []string{"", "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 3\r\n\r\nold"} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				p := connTo(t, func(server net.Conn) { _ = writeParts(server, 0, earlier+head+"\r\n", "ok") })
				responded := false
				_, err := p.Exchange(context.Background(), "server", false, Call{
					Write:   func(w *bufio.Writer) error { _, err := w.WriteString("GET / HTTP/1.1\r\n\r\n"); return err },
					Matches: MatchUnnamed("X-Id"),
					Read:    func(*fasthttp.Response) error { responded = true; return nil },
				})
				is.True(err != nil)
				is.True(!responded)
			})
		}
	}
}

// TestBeginningOfAHeadDoesNotRunIntoTheNext guards against responses with the status or the fields of
// an earlier one: a server sends the beginning of it once more before the next one.
func TestBeginningOfAHeadDoesNotRunIntoTheNext(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 2\r\n\r\nok"
	for name, stray := range map[string]string{
		"refusal":  "HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\nContent-Type: text/plain\r\nX-Id: old\r\nContent-Length: 4\r\n\r\nfull",
		"response": "HTTP/1.1 500 Internal Server Error\r\nX-Signature: s\r\nX-Id: old\r\nContent-Length: 4\r\n\r\nfail",
		"HTTP/1.0": "HTTP/1.0 500 Internal Server Error\r\nX-Signature: s\r\nX-Id: old\r\nContent-Length: 4\r\n\r\nfail",
		"chunks":   "HTTP/1.1 500 Internal Server Error\r\nX-Id: old\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfail\r\n0\r\n\r\n",
		"interim":  "HTTP/1.1 103 Early Hints\r\nX-Refused: 1\r\nLink: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for end := range len(stray) + 1 {
				is := is.New(t)
				p := connTo(t, func(server net.Conn) { _ = writeParts(server, 0, stray[:end], own) })
				_, err := p.Exchange(context.Background(), "server", false, Call{
					Write: func(w *bufio.Writer) error { _, err := w.WriteString("GET / HTTP/1.1\r\n\r\n"); return err },
					Matches: func(resp *fasthttp.Response, _ bool) Match {
						if string(resp.Header.Peek("X-Id")) == "own" {
							return MatchOwn
						}
						return MatchOther
					},
					Read: func(resp *fasthttp.Response) error {
						is.Equal(resp.StatusCode(), 200)
						is.Equal(len(resp.Header.Peek("X-Refused")), 0)
						is.Equal(len(resp.Header.Peek("X-Signature")), 0)
						body, err := ReadBody(resp, 100)
						is.Equal(string(body), "ok")
						return err
					},
				})
				if end == 0 || end == len(stray) && name != "HTTP/1.0" { // which closes its connection
					is.NoErr(err)
				}
			}
		})
	}
}

// TestUnusualHeadIsAResponse checks headers that sound servers may send.
func TestUnusualHeadIsAResponse(t *testing.T) {
	for name, head := range map[string]string{
		"no reason":             "HTTP/1.1 200\r\nContent-Length: 2\r\n",
		"empty reason":          "HTTP/1.1 200 \r\nContent-Length: 2\r\n",
		"reason with tab":       "HTTP/1.1 200 all\tright\xe4\r\nContent-Length: 2\r\n",
		"status 599":            "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n",
		"all bytes of a name":   "HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~09AZ: a\r\nContent-Length: 2\r\n",
		"empty value":           "HTTP/1.1 200 OK\r\nX-A:\r\nContent-Length: 2\r\n",
		"value with blanks":     "HTTP/1.1 200 OK\r\nX-A:\t a b: c \t\r\nContent-Length: 2\r\n",
		"value above 127":       "HTTP/1.1 200 OK\r\nX-A: \xe4\xc3\xa4\r\nContent-Length: 2\r\n",
		"empty lines before it": "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
		"protocol in a value":   "HTTP/1.1 200 OK\r\nUpgrade: HTTP/2.0\r\nVia: HTTP/1.1 proxy, 1.1 200\r\nContent-Length: 2\r\n",
		"HTTP/1.0":              "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n",
		"interim responses":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := connTo(t, func(server net.Conn) {
				for _, b := range []byte(head + "\r\nok") {
					if _, err := server.Write([]byte{b}); err != nil {
						return
					}
				}
			})
			body, _, err := getBody(context.Background(), p, "server")
			is.NoErr(err)
			is.Equal(body, "ok")
		})
	}
}

// FuzzHeader checks that a header which passes is read to its end and has a status and names as
// they can be.
func FuzzHeader(f *testing.F) {
	for _, head := range oddHeads {
		f.Add([]byte(head + "\r\n"))
	}
	f.Add([]byte("\nHTTP/1.1 200 OK\nA: b\n\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		client, server := net.Pipe()
		defer client.Close()
		go func() {
			_, _ = server.Write(raw)
			server.Close()
		}()
		c := newConn(client)
		resp := new(fasthttp.Response)
		if c.readHeader(resp) != nil {
			return
		}
		if read := raw[:len(raw)-c.reader.Buffered()]; len(raw) <= readBufferBytes && !bytes.HasSuffix(read, headerEnd) {
			t.Fatalf("read up to %q", read)
		}
		if status := resp.StatusCode(); status < 200 || status > 599 {
			t.Fatalf("status %d", status)
		}
		for name, value := range resp.Header.All() {
			if !port.IsFieldName(name) || !port.IsFieldValue(value) {
				t.Fatalf("field %q: %q", name, value)
			}
		}
	})
}
