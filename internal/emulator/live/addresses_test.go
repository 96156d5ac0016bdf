package live

import (
	"context"
	"net/netip"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/scenarios"
)

// addresses returns the addresses on which a rehearsal's engines and coordinators listen.
func (d *Rehearsal) addresses() (addresses []string) {
	for _, c := range d.coordinators {
		addresses = append(addresses, c.listen)
	}
	for _, e := range d.engines {
		if e.addr != "" {
			addresses = append(addresses, e.addr)
		}
	}
	return append(addresses, d.gossipAddresses...)
}

// A coordinator listens with SO_REUSEPORT, and its port is free while it is down. If two rehearsals shared a host, clients of
// one could reach a coordinator of the other.
func TestConcurrentRehearsalsShareNoHost(t *testing.T) {
	program := filepath.Join(t.TempDir(), "mute")
	out, err := exec.Command("go", "build", "-o", program, "./testdata/mute").CombinedOutput()
	require.NoError(t, err, string(out))
	s, err := scenarios.Load("tournament-sunday")
	require.NoError(t, err)
	require.True(t, s.Coordinators.GossipAllowed)
	s.DurationMS, s.Load.PerSecond = 100, 1
	for i := range s.Classes {
		s.Classes[i].LatencyObjectiveMS, s.Classes[i].DeadlineMS = 100, 100
	}
	const rehearsals = 3
	var listening, ended sync.WaitGroup
	listening.Add(rehearsals)
	var mu sync.Mutex
	rehearsalOf := map[string]int{} // number of the rehearsal that uses a host, by host
	for rehearsal := range rehearsals {
		ended.Go(func() {
			var once sync.Once
			defer once.Do(listening.Done) // a failed rehearsal does not block the others
			control := func(_ context.Context, c *Controller) {
				mu.Lock()
				for _, address := range c.rehearsal.addresses() {
					host := netip.MustParseAddrPort(address).Addr().String()
					if other, taken := rehearsalOf[host]; taken && other != rehearsal {
						t.Errorf("rehearsals %d and %d both use %s", other, rehearsal, host)
					}
					rehearsalOf[host] = rehearsal
				}
				mu.Unlock()
				once.Do(listening.Done)
				listening.Wait() // keeps the addresses in use until all rehearsals listen
			}
			_, err := Run(context.Background(), s, Options{Seed: uint64(rehearsal), Coordinator: program, Control: control})
			if err != nil {
				t.Error(err)
			}
		})
	}
	ended.Wait()
	require.Len(t, rehearsalOf, rehearsals*(s.Engines.Count+2*s.Coordinators.Count))
}
