package drill

// send delivers a message by calling receive, unless the link is blocked or the message is lost. Random delays reorder
// messages.
func (s *simulation) send(from, to *process, receive func()) {
	const (
		minDelayMS          = 0.1
		meanDelayMS         = 2
		maxExtraDelayMS     = 200
		maxDuplicateDelayMS = 300
	)
	s.result.Messages++
	l := link{from.index, to.index}
	if s.partitions[l] > 0 || s.drawNetworkFault(s.lossRatio) {
		return
	}
	delay := minDelayMS + meanDelayMS*s.networkRand.ExpFloat64()
	if s.drawNetworkFault(s.lossRatio) {
		delay += maxExtraDelayMS * s.networkRand.Float64()
	}
	s.loop.After(delay, func() {
		if s.partitions[l] == 0 {
			receive()
		}
	})
	if s.drawNetworkFault(s.lossRatio / 2) {
		s.loop.After(delay+maxDuplicateDelayMS*s.networkRand.Float64(), receive)
	}
}

// drawNetworkFault reports whether a message is lost, delayed or duplicated, at random with the given ratio.
func (s *simulation) drawNetworkFault(ratio float64) bool {
	return s.lossRatio > 0 && s.networkRand.Float64() < ratio
}

// partition blocks the links between a target and a peer, or all other processes if the fault names no peer.
func (s *simulation) partition(target, peer *process, f Fault) {
	var blocked []link
	for _, other := range s.processes {
		if other == target || f.Peer != "" && other != peer {
			continue
		}
		if f.Direction != DirectionInbound {
			blocked = append(blocked, link{target.index, other.index})
		}
		if f.Direction != DirectionOutbound {
			blocked = append(blocked, link{other.index, target.index})
		}
	}
	for _, l := range blocked {
		s.partitions[l]++
		s.loop.After(f.DurationMS, func() { s.partitions[l]-- })
	}
}
