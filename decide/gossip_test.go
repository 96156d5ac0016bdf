package decide

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestMalformedGossipIsDropped(t *testing.T) {
	for _, malformed := range [][]byte{nil, {9, 1, 1, 1}, {byte(gossipInFlight), 1, 1, 1}, {byte(gossipInFlight), 1, 1, 0x80}, {byte(gossipReports), 1}, make([]byte, 300)} {
		if _, _, ok := decodeGossip(malformed); ok {
			t.Errorf("malformed message %v accepted", malformed)
		}
	}
	_, lines, ok := decodeGossip(encodeGossip(gossipInFlight, []gossipLine{{1, []float64{12, 300}}, {1 << 15, []float64{0, 1e12}}}, 256))
	if !ok || len(lines) != 2 || lines[0].values[0] != 12 || lines[1].values[1] != maxGossipValue {
		t.Fatalf("%v %v", lines, ok)
	}
	settings := plainSettings()
	settings.Balancers, settings.GossipEnabled = 2, true
	s := newScript(t, settings, 2)
	s.at(1, GossipReceived{From: 1, Data: encodeGossip(gossipInFlight, []gossipLine{{gossipTag(1), []float64{12, 300}}, {gossipTag(77), []float64{12, 300}}}, 256)})
	s.at(2, GossipReceived{From: 1, Data: encodeGossip(gossipInFlight, []gossipLine{{gossipTag(1), []float64{8, 200}}}, 256)})
	if peerThreads, peerMemory := s.balancer.endpoints.byID[1].peerLoad.threads, s.balancer.endpoints.byID[1].peerLoad.memoryMB; peerThreads != 8 || peerMemory != 200 {
		t.Fatalf("the peer's last message has 8 threads and 200 MB, got %v, %v", peerThreads, peerMemory)
	}
}

// runLongRequest runs one long request. Requests with an even number end with a load report.
func (s *script) runLongRequest(now Millis, number int) {
	id := RequestID(fmt.Sprint(now))
	s.at(now, RequestArrived{ID: id, Class: 1, Group: 3, TimeLeft: 15000})
	if number%2 == 0 {
		s.at(now+40, AttemptEnded{ID: id, Endpoint: s.sentTo(id), Outcome: OutcomeSucceeded, Latency: 40,
			RequestClosed: true, Load: &LoadReport{InFlight: 3}})
	}
}

// sentGossip returns the messages that the last event sent.
func (s *script) sentGossip() (sentMessages []SendGossip) {
	for _, a := range s.actions {
		if message, ok := a.(SendGossip); ok {
			sentMessages = append(sentMessages, message)
		}
	}
	return sentMessages
}

// receiverCount returns the number of balancers that get a message. balancerCount is the number of all balancers.
func receiverCount(sentMessage SendGossip, balancerCount int) int {
	if sentMessage.To == AllPeers {
		return balancerCount - 1
	}
	return 1
}

// TestGossipStaysWithinBudget guards against a cost of messages that grows with the number of balancers: a message
// costs once for each receiver, so messages to all, affordable for a few balancers, exceed the budget of hundreds.
func TestGossipStaysWithinBudget(t *testing.T) {
	for _, c := range []struct {
		balancers         int
		cost              float64
		wantReceiverCount int // of each message; 0: no message is sent
	}{{3, 0.01, 2}, {250, 0.01, 1}, {250, 1000, 0}, {250, 0, 249}} {
		settings := plainSettings()
		settings.Balancers, settings.GossipEnabled, settings.GossipCost = c.balancers, true, c.cost
		s := newScript(t, settings, 2)
		sentBytes, queryCount := 0, 0
		for now := 100.0; now < 20000; now += 50 {
			if queryCount < int(now/250) { // four per second
				queryCount++
				s.runLongRequest(now, queryCount)
			}
			s.at(now+45, TimerFired{"tick"})
			for _, sentMessage := range s.sentGossip() {
				if sentMessage.To == AllPeers && c.wantReceiverCount < 2 || sentMessage.To == settings.BalancerIndex {
					t.Fatalf("%d balancers at cost %v: message sent to %d", c.balancers, c.cost, sentMessage.To)
				}
				sentBytes += len(sentMessage.Data) * receiverCount(sentMessage, c.balancers)
			}
		}
		if sentBytes > 0 != (c.wantReceiverCount > 0) {
			t.Errorf("%d balancers at cost %v: %d bytes sent", c.balancers, c.cost, sentBytes)
		}
		if costRatio := c.cost * float64(sentBytes) / 256 / float64(queryCount); costRatio > 1.1*gossipBudget {
			t.Errorf("%d balancers at cost %v: messages cost %.4f of the result", c.balancers, c.cost, costRatio)
		}
	}
}

// TestGossipReportsMostLoadedEndpointsFirst guards against sending only the newest reports: idle endpoints answer most
// often, so hundreds of balancers would never learn of an overloaded one.
func TestGossipReportsMostLoadedEndpointsFirst(t *testing.T) {
	settings := plainSettings()
	settings.Balancers, settings.GossipEnabled = 300, true
	s := newScript(t, settings, 60)
	for i, e := range s.balancer.endpoints.sorted {
		e.report = loadReport{LoadReport{InFlight: 2, Memory: -1}, Millis(i)}
	}
	overloaded := s.balancer.endpoints.sorted[0] // the oldest report
	overloaded.report.InFlight = 70
	s.at(100, TimerFired{"tick"})
	lines := s.balancer.gossip.reportLines()
	if len(lines) != maxReportLines || lines[0].tag != gossipTag(overloaded.ID) {
		t.Fatalf("%d lines, the first with endpoint tag %d, want %d", len(lines), lines[0].tag, gossipTag(overloaded.ID))
	}
}

// TestRecordedGossipIsWrittenAndRead checks compatibility with balancers of earlier versions: testdata/gossip.hex holds
// messages that commit d9ce9f6 encoded, one per line.
func TestRecordedGossipIsWrittenAndRead(t *testing.T) {
	raw, err := os.ReadFile("testdata/gossip.hex")
	if err != nil {
		t.Fatal(err)
	}
	reports := []gossipLine{{gossipTag(2), []float64{3.2, 0, 0}}, {gossipTag(9), []float64{1, 131, 64.5}}}
	inFlight := []gossipLine{{gossipTag(1), []float64{12, 300.7}}, {gossipTag(70000), []float64{0, 2e9}}}
	encodedMessages := [][]byte{
		encodeGossip(gossipInFlight, inFlight, maxMessageBytes),
		encodeGossip(gossipReports, reports, maxMessageBytes),
		encodeGossip(gossipReports, reports, 10), // the second line of reports does not fit
	}
	wantDecoded := []string{
		fmt.Sprint(gossipInFlight, []gossipLine{{gossipTag(1), []float64{12, 300}}, {gossipTag(70000), []float64{0, maxGossipValue}}}),
		fmt.Sprint(gossipReports, []gossipLine{{gossipTag(2), []float64{3, 0, 0}}, {gossipTag(9), []float64{1, 131, 64}}}),
		fmt.Sprint(gossipReports, []gossipLine{{gossipTag(2), []float64{3, 0, 0}}}),
	}
	for i, line := range strings.Fields(string(raw)) {
		recordedMessage, err := hex.DecodeString(line)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(recordedMessage, encodedMessages[i]) {
			t.Errorf("message %d: wrote %x, recorded %x", i, encodedMessages[i], recordedMessage)
		}
		form, lines, ok := decodeGossip(recordedMessage)
		if got := fmt.Sprint(form, lines); !ok || got != wantDecoded[i] {
			t.Errorf("message %d: read %s, want %s", i, got, wantDecoded[i])
		}
	}
}
