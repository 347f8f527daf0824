// Package platform is a stand-in for the platform's services: an in-memory server
// of the API in wire/platform/design that can inject the faults of the real platform.
//
// # Faults
//
// [Platform.Down] answers every call with "unavailable". [Platform.Slow] delays
// calls: reads are answered late with the state at their arrival, and writes take
// effect late, even if the client has disconnected in the meantime.
// [Platform.LoseAnswers] closes the connection after a write has taken effect.
// [Platform.ListLag] serves the VM list as it was at an earlier time.
//
// # Usage
//
//	p := platform.New(platform.WithVMs(daemons...))
//	server := &http.Server{Handler: p.Handler()}
//	go server.Serve(listener)
//	...
//	p.LoseAnswers(0.5, 7) // Half of the writes, chosen at random from seed 7.
package platform

import (
	"net/http"

	goahttp "goa.design/goa/v3/http"

	"tarragonshed.example/manifest"
	"tarragonshed.example/member"
	"tarragonshed.example/wire/platform/gen/database"
	"tarragonshed.example/wire/platform/gen/fleet"
	databaseserver "tarragonshed.example/wire/platform/gen/http/database/server"
	fleetserver "tarragonshed.example/wire/platform/gen/http/fleet/server"
	objectserver "tarragonshed.example/wire/platform/gen/http/object/server"
	tableserver "tarragonshed.example/wire/platform/gen/http/table/server"
	"tarragonshed.example/wire/platform/gen/object"
	"tarragonshed.example/wire/platform/gen/table"
)

// maxBodyBytes bounds the body of one call. It leaves room for the base64 encoding of
// the largest object.
const maxBodyBytes = 24 * 1024 * 1024

// Platform is an in-memory platform. It is safe for concurrent use.
type Platform struct {
	faults
	calls
	tables  tableService
	objects objectService
	fleet   fleetService
	groups  databaseService
}

// Option changes a Platform under construction.
type Option func(*Platform)

// WithVMs sets the initial VM list.
func WithVMs(daemons ...member.Daemon) Option {
	return func(p *Platform) {
		for _, d := range daemons {
			p.SetVM(d)
		}
	}
}

// WithGroups sets the database groups that the platform runs.
func WithGroups(groups ...manifest.Group) Option {
	return func(p *Platform) { p.groups.set(groups) }
}

// New returns a Platform without rows, objects and VMs.
func New(options ...Option) *Platform {
	p := &Platform{
		tables:  tableService{tables: make(map[string]map[string]table.Row)},
		objects: objectService{objects: make(map[string]object.GetResult)},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Handler returns the HTTP handler of all services.
func (p *Platform) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	tableserver.Mount(mux, tableserver.New(table.NewEndpoints(&p.tables), mux, decoder, encoder, nil, nil))
	objectserver.Mount(mux, objectserver.New(object.NewEndpoints(&p.objects), mux, decoder, encoder, nil, nil))
	fleetserver.Mount(mux, fleetserver.New(fleet.NewEndpoints(&p.fleet), mux, decoder, encoder, nil, nil))
	databaseserver.Mount(mux, databaseserver.New(database.NewEndpoints(&p.groups), mux, decoder, encoder, nil, nil))
	return p.count(p.inject(http.MaxBytesHandler(mux, maxBodyBytes)))
}

// SetVM adds a VM to the list, or replaces the entry of the same id.
func (p *Platform) SetVM(d member.Daemon) {
	p.fleet.change(func(vms map[string]fleet.VM) { vms[string(d.ID)] = vmOf(d) })
}
