package upstream

import "aniseloft/internal/routing"

// Factory creates a client for each endpoint. The kind of the endpoint determines the protocol.
type Factory struct {
	Pool      *Pool
	KindNames []string        // names of the kinds by their index in the settings
	RESTKinds map[string]bool // kinds that speak the paged REST protocol; others speak the platform's protocol
	User      string          // user name that this coordinator sends to REST endpoints
}

// Upstream returns a client of one endpoint. The client shares no connections with other clients.
func (f Factory) Upstream(e routing.Endpoint) routing.Upstream {
	c := &engineClient{addr: e.Address, conns: f.Pool.endpoint(e.Name, e.Address)}
	if e.Kind >= 0 && e.Kind < len(f.KindNames) && f.RESTKinds[f.KindNames[e.Kind]] {
		return &restClient{engineClient: c, user: f.User}
	}
	return c
}
