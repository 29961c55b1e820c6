// Package httptransport configures the HTTP clients of the system.
package httptransport

import (
	"net"
	"net/http"
	"time"
)

// New returns a transport with at most maxConns connections to each host, 0 for no limit,
// each of which is set up within setupTimeout or given up. The setup of a connection goes on
// after the call that began it has ended and counts towards the limit meanwhile, so that
// without a timeout an address that does not answer blocks all calls until the kernel gives
// up, minutes later.
func New(maxConns int, setupTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: setupTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSHandshakeTimeout: setupTimeout,
		ForceAttemptHTTP2:   true,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
	}
}
