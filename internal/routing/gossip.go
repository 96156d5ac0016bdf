package routing

import "aniseloft/decide"

// PeerSender sends gossip to the other coordinators. Delivery is not guaranteed.
type PeerSender interface {
	// SendGossip sends data to the coordinator with index to, or to all others for decide.AllPeers. It
	// must not block.
	SendGossip(to int, data []byte)
}

// ReceiveGossip queues a gossip message from another coordinator.
func (d *Dispatcher) ReceiveGossip(from int, data []byte) {
	d.post(func() { d.handle(decide.GossipReceived{From: from, Data: data}) })
}

func (d *Dispatcher) sendGossip(a decide.SendGossip) {
	if d.PeerSender != nil {
		d.PeerSender.SendGossip(a.To, a.Data)
	}
}
