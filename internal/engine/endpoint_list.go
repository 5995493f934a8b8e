package engine

import (
	"cairntiller/internal/discovery"
	"cairntiller/internal/metrics"
	"cairntiller/internal/routing"
)

var listsApplied = metrics.New("endpoint lists applied")

// ApplyEndpointList applies a list from discovery, which holds either all endpoints or only the changed ones.
func (e *Engine) ApplyEndpointList(now int64, list *discovery.EndpointList) {
	listsApplied.Add()
	e.propagateEndpoints(now, list)
}

// propagateEndpoints passes a list to the connections, the routing module and the shared health checks. Endpoints
// drained by rollouts are passed on as draining.
func (e *Engine) propagateEndpoints(now int64, list *discovery.EndpointList) {
	e.router.BeginEndpointList(now, list.Complete)
	for _, n := range list.Endpoints {
		if n.State == routing.Removed {
			e.connections.CloseIdle(n.Name)
		} else {
			e.connections.SetAddress(n.Name, n.Address)
		}
		state := e.services.recordEndpoint(n)
		e.router.UpdateEndpoint(now, routing.Endpoint{
			Name:        n.Name,
			Zone:        n.Zone,
			MachineType: n.Kind,
			Shard:       n.Shard,
			State:       state,
			Primary:     n.Primary,
			StartedAt:   n.StartedAt,
		})
		if e.sharedProbes != nil {
			e.sharedProbes.EndpointListed(now, n.Name, state, n.StartedAt)
		}
	}
	e.router.EndEndpointList(now)
	if e.sharedProbes != nil {
		e.sharedProbes.ListApplied(now, list.Complete)
	}
}
