package config

import (
	"encoding/json"
	"os"
	"testing"

	jsoniter "github.com/json-iterator/go"
	"github.com/stretchr/testify/require"

	"aniseloft/internal/protocol/journal"
	"aniseloft/internal/wire"
)

// The file sets every field; the expected values are those that commit d9ce9f6 read from it.
func TestEveryFieldOfTheConfigurationIsRead(t *testing.T) {
	raw, err := os.ReadFile("testdata/config.json")
	require.NoError(t, err)
	c, findings := ParseCoordinator(raw, Override{})
	require.NotNil(t, c, findings)
	require.NoError(t, FirstFatal(findings))
	var parts map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(raw, &parts))
	settings, _ := wire.Inspect(parts["settings"])
	require.Equal(t, &Coordinator{
		Name: "n0", Listen: "127.0.0.1:8443", Admin: "127.0.0.1:8444", Seed: "8c1f30d27a5be964",
		Limits:     Limits{Cores: 1.5, MemoryMB: 192, Sockets: 1024},
		PeerListen: "127.0.0.1:9000", Peers: []string{"127.0.0.1:9000", "127.0.0.1:9001"}, PeersAll: "127.0.0.1:9100",
		Journal: "127.0.0.1:7070", Known: journal.Batch{Position: 7, Events: []journal.Event{}},
		RawSettings: jsoniter.RawMessage(parts["settings"]), Settings: settings, SeedNumber: 0x8c1f30d27a5be964,
	}, c)
}

// The name and addresses from the environment replace those of the file.
func TestOverrideReplacesValuesOfTheFile(t *testing.T) {
	raw, err := os.ReadFile("testdata/config.json")
	require.NoError(t, err)
	c, findings := ParseCoordinator(raw, Override{Name: "n7", Listen: "127.0.0.1:1", Admin: "127.0.0.1:2"})
	require.NotNil(t, c, findings)
	require.Equal(t, [...]string{"n7", "127.0.0.1:1", "127.0.0.1:2"}, [...]string{c.Name, c.Listen, c.Admin})
}
