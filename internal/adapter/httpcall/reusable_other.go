//go:build !unix

package httpcall

import "net"

// isReusable always returns true, because idle connections are checked on Unix only.
func isReusable(net.Conn) bool { return true }
