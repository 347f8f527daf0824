// Package experimenter runs experiments on whole deployments and keeps their
// results.
//
// # Experiment
//
// An experiment is a TOML document, see [Experiment]. It names deployments, what
// callers do, faults, and how many seeded runs to make. In mode "load" callers
// put an open-loop load on the deployment (package loader); in mode "history" they
// record a history that is checked (package historian).
//
// # Cycles
//
// A run has cycles of equal length. In each of them the faults strike at their
// times, moved by a seeded jitter, and at its end everything is mended. Each cycle
// gives one failover gap for each group under load.
//
// # Names
//
// In the names of targets, daemons and sides of cuts, {group}, {primary},
// {replica}, {primary-domain}, {other-domain} and {daemon} stand for those of the
// group, as they were when the cycle began; {daemon} is drawn once for a cycle. A fault
// that uses any of them but {daemon} strikes once for each group.
//
// # Usage
//
//	e, err := experimenter.Read("experiments/failover-stop.toml")
//	if err != nil {
//		return err
//	}
//	result, err := experimenter.Run(ctx, e, func(line string) { fmt.Println(line) })
package experimenter

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"

	"tarragonshed.example/router"
	"tarragonshed.example/standin/deployer"
	"tarragonshed.example/tarragonbench/historian"
	"tarragonshed.example/tarragonbench/loader"
)

// Mode tells what callers do.
type Mode string

// The modes of experiments.
const (
	Load    Mode = "load"
	History Mode = "history"
)

// Experiment describes runs. Zero fields have defaults.
type Experiment struct {
	Name  string `toml:"name" json:"name"`
	About string `toml:"about" json:"about"`
	Mode  Mode   `toml:"mode" json:"mode"`
	// Deployments lists profiles: "trust", "umusego".
	Deployments []string `toml:"deployments" json:"deployments"`
	// Daemons is the number of daemons in each failure domain.
	Daemons     int  `toml:"daemons" json:"daemons"`
	LocalGroups bool `toml:"local-groups" json:"local-groups,omitempty"`
	// Groups is the number of groups under load.
	Groups      int           `toml:"groups" json:"groups"`
	Homes       int           `toml:"homes" json:"homes"`
	ServiceTime time.Duration `toml:"service-time" json:"service-time,omitempty"`
	// Policy chooses replicas for reads, see [router.Policy].
	Policy string `toml:"policy" json:"policy,omitempty"`
	// ReplicaWait is how long a read waits for a replica before it goes to the
	// primary. Nil is the daemon's default.
	ReplicaWait *time.Duration `toml:"replica-wait" json:"replica-wait,omitempty"`
	// Runs is the number of runs for each deployment, with seeds from FirstSeed.
	Runs      int    `toml:"runs" json:"runs"`
	FirstSeed uint64 `toml:"first-seed" json:"first-seed"`
	// Warmup comes before the first cycle.
	Warmup time.Duration `toml:"warmup" json:"warmup"`
	Cycles int           `toml:"cycles" json:"cycles"`
	// Cycle is the length of a cycle.
	Cycle   time.Duration    `toml:"cycle" json:"cycle"`
	Load    LoadSettings     `toml:"load" json:"load,omitzero"`
	History HistorySettings  `toml:"history" json:"history,omitzero"`
	Faults  []ScheduledFault `toml:"faults" json:"faults"`
}

// LoadSettings are those of mode "load".
type LoadSettings struct {
	Callers int            `toml:"callers" json:"callers"`
	Roam    float64        `toml:"roam" json:"roam"`
	Mix     []loader.Share `toml:"mix" json:"mix"`
	Phases  []loader.Phase `toml:"phases" json:"phases"`
}

// HistorySettings are those of mode "history".
type HistorySettings struct {
	Callers int           `toml:"callers" json:"callers"`
	Pause   time.Duration `toml:"pause" json:"pause"`
	Roam    float64       `toml:"roam" json:"roam"`
	Reads   float64       `toml:"reads" json:"reads"`
}

// ScheduledFault is a fault and its time in the cycle.
type ScheduledFault struct {
	After time.Duration `toml:"after" json:"after"`
	// Jitter is the most that a seeded delay adds.
	Jitter time.Duration `toml:"jitter" json:"jitter,omitempty"`
	deployer.Fault
}

// Parse reads an experiment and fills in the defaults. Unknown keys are errors.
func Parse(document []byte) (Experiment, error) {
	var e Experiment
	meta, err := toml.Decode(string(document), &e)
	if err != nil {
		return e, fmt.Errorf("experimenter: %w", err)
	}
	if keys := meta.Undecoded(); len(keys) > 0 {
		return e, fmt.Errorf("experimenter: unknown keys %v", keys)
	}
	e.fillIn()
	return e, e.check()
}

// Read reads an experiment from a file.
func Read(path string, overrides ...Override) (Experiment, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, err
	}
	if len(overrides) == 0 {
		return Parse(document)
	}
	var tree map[string]any
	if err := toml.Unmarshal(document, &tree); err != nil {
		return Experiment{}, fmt.Errorf("experimenter: %s: %w", path, err)
	}
	for _, o := range overrides {
		if err := o.apply(tree); err != nil {
			return Experiment{}, err
		}
	}
	var changed bytes.Buffer
	if err := toml.NewEncoder(&changed).Encode(tree); err != nil {
		return Experiment{}, fmt.Errorf("experimenter: %s: %w", path, err)
	}
	return Parse(changed.Bytes())
}

func (e *Experiment) fillIn() {
	if e.Mode == "" {
		e.Mode = Load
	}
	if len(e.Deployments) == 0 {
		e.Deployments = []string{"trust"}
	}
	e.Daemons = max(e.Daemons, 1)
	e.Runs = max(e.Runs, 1)
	e.Cycles = max(e.Cycles, 1)
	if e.Groups == 0 {
		e.Groups = 1
	}
	if e.Homes == 0 {
		e.Homes = 2
	}
	if e.FirstSeed == 0 {
		e.FirstSeed = 1
	}
	if e.Cycle == 0 {
		e.Cycle = 5 * time.Second
	}
}

func (e *Experiment) check() error {
	var errs []error
	if e.Mode != Load && e.Mode != History {
		errs = append(errs, fmt.Errorf("experimenter: no mode %q", e.Mode))
	}
	if _, err := router.ParsePolicy(e.Policy); err != nil {
		errs = append(errs, err)
	}
	for _, name := range e.Deployments {
		if _, err := deployer.ProfileNamed(name); err != nil {
			errs = append(errs, err)
		}
	}
	for _, s := range e.Faults {
		if s.After+s.Jitter >= e.Cycle {
			errs = append(errs, fmt.Errorf("experimenter: %s at %v is not within a cycle of %v", s.Kind, s.After+s.Jitter, e.Cycle))
		}
	}
	return errors.Join(errs...)
}

// length returns how long a run's callers work.
func (e *Experiment) length() time.Duration { return e.Warmup + time.Duration(e.Cycles)*e.Cycle }

// Run is the result of one seeded run.
type Run struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	// Gaps are in milliseconds, one for each cycle and group.
	Gaps []float64 `json:"gaps-ms,omitempty"`
	// Load is filled in mode "load".
	Load *loader.Report `json:"load,omitempty"`
	// Replicas are the shares of reads that replicas served, by class.
	Replicas map[string]float64 `json:"replica-shares,omitempty"`
	// Verdict is filled in mode "history".
	Verdict *historian.Verdict `json:"verdict,omitempty"`
	// Error tells why the run could not be finished.
	Error string `json:"error,omitempty"`
	// InjectedFaults lists the faults as they struck.
	InjectedFaults []string `json:"strikes"`
	// Timeline is an excerpt around the longest gap.
	Timeline []string `json:"timeline,omitempty"`
}

// Violations returns what was broken in the run.
func (r Run) Violations() []string {
	var list []string
	if r.Load != nil {
		list = append(list, r.Load.Violations...)
	}
	if r.Verdict != nil {
		for _, v := range r.Verdict.Violations {
			list = append(list, v.String())
		}
		for _, key := range r.Verdict.Undecided {
			list = append(list, "undecided: "+key)
		}
	}
	return list
}

// Result is what an experiment gave.
type Result struct {
	Experiment Experiment `json:"experiment"`
	// Commit is the version of the code under test.
	Commit  string    `json:"commit"`
	Began   time.Time `json:"began"`
	Runs    []Run     `json:"runs"`
	Summary []Summary `json:"summary"`
}
