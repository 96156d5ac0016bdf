package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"aniseloft/decide"
	"aniseloft/internal/protocol/journal"
	"aniseloft/internal/wire"
)

// codec distinguishes upper and lower case in field names, and ignores unknown fields.
var codec = jsoniter.Config{CaseSensitive: true}.Froze()

// MinMemoryMB and MinSockets are the lowest limits with which the program works.
const (
	MinMemoryMB = 32
	MinSockets  = 64
)

// Limits are the resources that the platform gives a coordinator.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// Coordinator is the configuration of a coordinator.
type Coordinator struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // clients' address
	Admin  string `json:"admin"`  // address for operators' calls; empty: there is none
	Seed   string `json:"seed"`   // hexadecimal
	Limits Limits `json:"limits"`
	// Gossip addresses: that of this coordinator, those of all coordinators by their index, and one that reaches all
	// coordinators. If they are empty there is no gossip.
	PeerListen  string              `json:"peer_listen"`
	Peers       []string            `json:"peers"`
	PeersAll    string              `json:"peers_all"`
	Journal     string              `json:"journal"` // address of the journal service, which keeps the endpoint list
	Known       journal.Batch       `json:"known"`   // the endpoint list at the start, possibly out of date
	RawSettings jsoniter.RawMessage `json:"settings"`

	Settings   decide.Settings `json:"-"` // parsed from RawSettings
	SeedNumber uint64          `json:"-"` // parsed from Seed
}

// Override holds values that replace those of the configuration file unless they are empty.
type Override struct{ Name, Listen, Admin string }

// FindingError is a fatal finding, with which the configuration can't be used.
type FindingError struct{ wire.Finding }

// Error returns the finding on one line.
func (e FindingError) Error() string { return e.String() }

// FirstFatal returns the first fatal finding as a FindingError, or nil if the configuration can be used.
func FirstFatal(findings []wire.Finding) error {
	for _, f := range findings {
		if f.Fatal {
			return FindingError{f}
		}
	}
	return nil
}

// ParseCoordinator parses and checks the file's content. A configuration with a fatal finding can't be used;
// fatal findings come first.
func ParseCoordinator(raw []byte, override Override) (*Coordinator, []wire.Finding) {
	var c Coordinator
	if err := codec.Unmarshal(raw, &c); err != nil {
		return nil, []wire.Finding{wire.DecodingFinding("configuration", raw, new(Coordinator), err)}
	}
	c.Name, c.Listen, c.Admin = cmp.Or(override.Name, c.Name), cmp.Or(override.Listen, c.Listen), cmp.Or(override.Admin, c.Admin)
	findings := append(c.checkRequired(), c.checkAddresses()...)
	if len(c.RawSettings) == 0 {
		return nil, append(findings, wire.FatalFinding("settings", "absent", "must hold the settings of the decision module"))
	}
	settings, settingsFindings := wire.Inspect(c.RawSettings)
	if len(settingsFindings) > 0 && settingsFindings[0].Fatal || len(findings) > 0 {
		return nil, append(findings, settingsFindings...)
	}
	c.Settings = settings
	if c.PeerListen != "" && !c.Settings.GossipEnabled {
		findings = append(findings, wire.Finding{
			Field: "peer_listen", Value: c.PeerListen, Message: "gossip is disabled (settings.bounds.peers)",
			Consequence: "the address is not opened",
		})
	}
	return &c, append(findings, settingsFindings...)
}

// checkRequired parses the seed and returns a fatal finding for each required field that is absent or out of range, and
// for a seed that is not 1 to 16 hexadecimal digits.
func (c *Coordinator) checkRequired() (findings []wire.Finding) {
	requireField := func(ok bool, field string, value any, message string) {
		if !ok {
			findings = append(findings, wire.FatalFinding(field, fmt.Sprint(value), message))
		}
	}
	requireField(c.Listen != "", "listen", "absent", "must be set to the address at which clients connect")
	requireField(c.Journal != "", "journal", "absent", "must be set to the address of the journal service")
	requireField(c.Limits.MemoryMB >= MinMemoryMB, "limits.memory_mb", c.Limits.MemoryMB, fmt.Sprintf("must be at least %d", MinMemoryMB))
	requireField(c.Limits.Sockets >= MinSockets, "limits.sockets", c.Limits.Sockets, fmt.Sprintf("must be at least %d", MinSockets))
	var err error
	c.SeedNumber, err = strconv.ParseUint(c.Seed, 16, 64)
	requireField(err == nil, "seed", strconv.Quote(c.Seed), "must be 1 to 16 hexadecimal digits")
	return findings
}

// checkAddresses returns a fatal finding for each address that is malformed or used twice.
func (c *Coordinator) checkAddresses() (findings []wire.Finding) {
	checkAddress := func(field, address string) {
		if address == "" {
			return
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			findings = append(findings, wire.FatalFinding(field, address, "must be an IP address and port, such as 127.0.0.1:8443; host names are not resolved"))
		}
	}
	checkAddress("listen", c.Listen)
	checkAddress("admin", c.Admin)
	checkAddress("journal", c.Journal)
	checkAddress("peer_listen", c.PeerListen)
	checkAddress("peers_all", c.PeersAll)
	firstIndex := map[string]int{}
	for i, address := range c.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		checkAddress(field, address)
		if earlierIndex, isDuplicate := firstIndex[address]; isDuplicate {
			findings = append(findings, wire.FatalFinding(field, address, fmt.Sprintf("the same as peers[%d]", earlierIndex)))
		}
		firstIndex[address] = i
	}
	if c.Admin != "" && c.Admin == c.Listen {
		findings = append(findings, wire.FatalFinding("admin", c.Admin, "the same as listen, the clients' address"))
	}
	return findings
}
