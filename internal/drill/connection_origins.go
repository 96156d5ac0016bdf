package drill

import (
	"net"
	"sync"
	"time"

	"aniseloft/internal/emulator/receivetime"
)

// connectionOrigins holds, for each connection between a relay and its target, the client's connection whose bytes it
// carries. An entry is kept after its connection closes, because the target may read the received bytes later; a new
// connection with the same addresses replaces it. It is safe for concurrent use.
type connectionOrigins struct {
	mu      sync.Mutex
	origins map[connectionAddresses]*receivetime.Conn
}

// connectionAddresses holds the local and the remote address of a connection as its target sees them.
type connectionAddresses struct{ local, remote string }

func newConnectionOrigins() *connectionOrigins {
	return &connectionOrigins{origins: map[connectionAddresses]*receivetime.Conn{}}
}

// add records that a connection to a target carries the bytes of the client's connection origin.
func (o *connectionOrigins) add(target net.Conn, origin *receivetime.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.origins[connectionAddresses{local: target.RemoteAddr().String(), remote: target.LocalAddr().String()}] = origin
}

// receivedAt returns the time at which the relay received the first bytes of the message that a target now reads from the
// connection with these addresses.
func (o *connectionOrigins) receivedAt(local, remote net.Addr) (at time.Time, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	origin := o.origins[connectionAddresses{local.String(), remote.String()}]
	if origin == nil {
		return time.Time{}, false
	}
	return origin.MessageBegan(), true
}
