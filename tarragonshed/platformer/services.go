package platformer

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"tarragonshed.example/member"
	"tarragonshed.example/unit"
	"tarragonshed.example/wire/platform/gen/database"
	"tarragonshed.example/wire/platform/gen/fleet"
	"tarragonshed.example/wire/platform/gen/object"
	"tarragonshed.example/wire/platform/gen/table"
)

// Row is one row of a table.
type Row struct {
	Key   string
	Value []byte
	// Version is the revision of the transaction that wrote the row last.
	Version uint64
}

// Condition requires a row to have a version. Zero requires that the row doesn't exist.
type Condition struct {
	Table, Key string
	Version    uint64
}

// Write sets the value of a row, or deletes the row.
type Write struct {
	Table, Key string
	Value      []byte
	Delete     bool
}

// Get returns a row. It returns [ErrNotFound] or [ErrUnavailable] on failure.
func (p *Platformer) Get(ctx context.Context, tableName, key string) (Row, error) {
	answer, err := p.read(ctx, func(ctx context.Context) (any, error) {
		return p.tables.Get()(ctx, &table.GetPayload{Table: tableName, Key: key})
	})
	if err != nil {
		return Row{}, err
	}
	row := answer.(*table.Row)
	return Row{Key: row.Key, Value: row.Value, Version: row.Version}, nil
}

// scanPage is the number of rows that Scan requests per call.
const scanPage = 1000

// Scan returns all rows whose key starts with the prefix and sorts after the key
// after, ordered by key. Each page of 1000 rows is a consistent snapshot, but all
// pages together are not. It returns [ErrUnavailable] on failure.
func (p *Platformer) Scan(ctx context.Context, tableName, prefix, after string) ([]Row, error) {
	var rows []Row
	for {
		answer, err := p.read(ctx, func(ctx context.Context) (any, error) {
			return p.tables.Scan()(ctx, &table.ScanPayload{Table: tableName, Prefix: &prefix, After: &after, Limit: scanPage})
		})
		if err != nil {
			return nil, err
		}
		page := answer.(*table.ScanResult).Rows
		for _, row := range page {
			rows = append(rows, Row{Key: row.Key, Value: row.Value, Version: row.Version})
		}
		if len(page) < scanPage {
			return rows, nil
		}
		after = page[len(page)-1].Key
	}
}

// Commit applies all writes if all conditions hold, and returns the version of the
// written rows. It returns [ErrConflict] or [ErrUnavailable] if nothing was written,
// and [ErrUncertain] if the outcome is unknown.
func (p *Platformer) Commit(ctx context.Context, conditions []Condition, writes []Write) (uint64, error) {
	payload := &table.CommitPayload{}
	for _, c := range conditions {
		payload.Conditions = append(payload.Conditions, &table.Condition{Table: c.Table, Key: c.Key, Version: c.Version})
	}
	for _, w := range writes {
		payload.Writes = append(payload.Writes, &table.Write{Table: w.Table, Key: w.Key, Value: w.Value, Delete: &w.Delete})
	}
	answer, err := p.write(ctx, func(ctx context.Context) (any, error) { return p.tables.Commit()(ctx, payload) })
	if err != nil {
		return 0, err
	}
	return answer.(*table.CommitResult).Revision, nil
}

// PutObject stores an object. It is idempotent for the same content. It returns
// [ErrUnavailable] if nothing was stored, and [ErrUncertain] if the outcome is unknown.
func (p *Platformer) PutObject(ctx context.Context, name string, content []byte) error {
	_, err := p.write(ctx, func(ctx context.Context) (any, error) {
		return p.objects.Put()(ctx, &object.PutPayload{Name: name, Content: content})
	})
	return err
}

// Object returns an object. It returns [ErrNotFound] or [ErrUnavailable] on failure.
func (p *Platformer) Object(ctx context.Context, name string) ([]byte, error) {
	answer, err := p.read(ctx, func(ctx context.Context) (any, error) {
		return p.objects.Get()(ctx, &object.GetPayload{Name: name})
	})
	if err != nil {
		return nil, err
	}
	return answer.(*object.GetResult).Content, nil
}

// VMs returns the platform's list of live and leaving VMs, ordered by id, and the
// revision of the list. It returns [ErrUnavailable] on failure.
func (p *Platformer) VMs(ctx context.Context) ([]member.Daemon, uint64, error) {
	answer, err := p.read(ctx, func(ctx context.Context) (any, error) { return p.fleet.List()(ctx, nil) })
	if err != nil {
		return nil, 0, err
	}
	list := answer.(*fleet.ListResult)
	daemons := make([]member.Daemon, 0, len(list.Vms))
	for _, vm := range list.Vms {
		daemons = append(daemons, daemonOf(vm))
	}
	slices.SortFunc(daemons, func(a, b member.Daemon) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return daemons, list.Revision, nil
}

func daemonOf(vm *fleet.VM) member.Daemon {
	d := member.Daemon{
		ID:          unit.DaemonID(vm.ID),
		Incarnation: unit.Incarnation(vm.Incarnation),
		Domain:      unit.DomainName(vm.Domain),
		State:       member.Live,
		PeerAddress: vm.PeerAddress,
	}
	if vm.State == string(member.Leaving) {
		d.State = member.Leaving
	}
	if vm.OperatorAddress != nil {
		d.OperatorAddress = *vm.OperatorAddress
	}
	if vm.CallerAddress != nil {
		d.CallerAddress = *vm.CallerAddress
	}
	return d
}

// DatabaseGroups returns the names of the platform's database groups. It returns
// [ErrUnavailable] on failure.
func (p *Platformer) DatabaseGroups(ctx context.Context) ([]unit.GroupName, error) {
	answer, err := p.read(ctx, func(ctx context.Context) (any, error) { return p.groups.List()(ctx, nil) })
	if err != nil {
		return nil, trace.Wrap(err)
	}
	list := answer.(*database.ListResult)
	names := make([]unit.GroupName, 0, len(list.Groups))
	for _, g := range list.Groups {
		names = append(names, unit.GroupName(g.Name))
	}
	return names, nil
}
