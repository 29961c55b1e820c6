package registry

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/peridotstall/peridotstall/internal/segment"
)

// Share is the weight of a service in a route's new flows.
type Share struct {
	Service string
	Weight  uint32
}

// Route defines which services serve an endpoint that callers address.
type Route struct {
	Endpoint segment.Endpoint
	// Shares lists the services and their weights; usually there is one service.
	Shares []Share
	// Timeout is the timeout of requests inside the flows; 0 if there is none.
	Timeout time.Duration
	// Aim is the latency objective of requests inside the flows; 0 if there is none.
	Aim time.Duration
	// Priority is the priority of requests inside the flows; 0 is the highest.
	Priority uint8
}

// NoPriority is the priority of a route that names none: below those that do.
const NoPriority = math.MaxUint8

// Validate returns an error that names the first field with an invalid value.
func (r *Route) Validate() error {
	if r.Endpoint.Port == 0 {
		return errors.Errorf("route address %s: the port must be above 0", r.Endpoint)
	}
	if len(r.Shares) == 0 {
		return errors.New("route has no service")
	}
	for _, share := range r.Shares {
		if err := validateService(share.Service); err != nil {
			return err
		}
	}
	return nil
}

// Service returns the service for a flow hash, or "" if all weights are 0.
func (r *Route) Service(hash uint64) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	var total uint64
	for _, s := range r.Shares {
		total += uint64(s.Weight)
	}
	if total == 0 {
		return ""
	}
	point := (hash >> 17) % total
	for _, s := range r.Shares {
		if point < uint64(s.Weight) {
			return s.Service
		}
		point -= uint64(s.Weight)
	}
	return ""
}

// Routes is one published configuration.
type Routes struct {
	// Version increases with each configuration; 0 means that none has been received.
	Version uint64
	Routes  []Route
	// Services lists the services that the configuration names; routes may name others.
	Services []string
	// Warmups holds the limits of services whose targets warm up.
	Warmups map[string]Warmup
	// IdleTimeout is the time after which an idle flow may be removed.
	IdleTimeout time.Duration
}

// Usable returns the configuration without the routes that cannot be used, each of which
// is reported.
func (r Routes) Usable(report func(Unusable)) Routes {
	routes := make([]Route, 0, len(r.Routes))
	for _, route := range r.Routes {
		if err := route.Validate(); err != nil {
			report(Unusable{Key: route.Endpoint.String(), Err: err})
			continue
		}
		routes = append(routes, route)
	}
	r.Routes = routes
	services := make([]string, 0, len(r.Services))
	for _, name := range r.Services {
		if err := validateService(name); err != nil {
			report(Unusable{Key: name[:min(len(name), maxNameBytes)], Err: err})
			continue
		}
		services = append(services, name)
	}
	if r.Services != nil {
		r.Services = services
	}
	r.Warmups = usableWarmups(r.Warmups, report)
	return r
}
