package routing

import "aniseloft/decide"

// PeerSender sends gossip to the other coordinators. Delivery is not guaranteed.
type PeerSender interface {
	// SendGossip sends data to the coordinator with the index recipient, or to all others for decide.AllPeers. It
	// must not block.
	SendGossip(recipient int, data []byte)
}

// ReceiveGossip queues a gossip message from the coordinator with the index sender.
func (d *Dispatcher) ReceiveGossip(sender int, data []byte) {
	d.post(func() { d.handle(decide.GossipReceived{From: sender, Data: data}) })
}

func (d *Dispatcher) sendGossip(a decide.SendGossip) {
	if d.PeerSender != nil {
		d.PeerSender.SendGossip(a.To, a.Data)
	}
}
