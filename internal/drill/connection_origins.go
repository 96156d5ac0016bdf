package drill

import (
	"net"
	"sync"
	"time"

	"aniseloft/internal/emulator/receivetime"
)

// connectionOrigins knows, for each connection that relays have made to their targets, the connection whose bytes it
// forwards. An entry outlives its connection, as a target may come to read it only later, until the addresses are used
// again. It is safe for concurrent use.
type connectionOrigins struct {
	mu      sync.Mutex
	origins map[connectionAddresses]*receivetime.Conn
}

// connectionAddresses are those of a connection's two sides, as its target sees them.
type connectionAddresses struct{ local, remote string }

func newConnectionOrigins() *connectionOrigins {
	return &connectionOrigins{origins: map[connectionAddresses]*receivetime.Conn{}}
}

func (o *connectionOrigins) add(target net.Conn, origin *receivetime.Conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.origins[connectionAddresses{local: target.RemoteAddr().String(), remote: target.LocalAddr().String()}] = origin
}

// receivedAt returns when the message that a target reads now from a connection reached the relay.
func (o *connectionOrigins) receivedAt(local, remote net.Addr) (at time.Time, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	origin := o.origins[connectionAddresses{local.String(), remote.String()}]
	if origin == nil {
		return time.Time{}, false
	}
	return origin.MessageBegan(), true
}
