// Package experimenter runs experiments on whole deployments and writes reports of their
// results.
//
// # Experiment
//
// An experiment is a TOML document, see [Experiment]. It holds the deployments, the
// callers' behavior, the faults, and the number of seeded runs. In mode "load", callers
// generate an open-loop load on the deployment (package loader). In mode "history", they
// record a history that is checked (package historian).
//
// # Cycles
//
// A run has cycles of equal length. In each cycle, the faults are injected at their
// times, delayed by a seeded jitter, and at its end all faults are reverted. Each cycle
// gives one failover gap for each group under load.
//
// # Names
//
// In the names of targets, daemons and the two sides of a network partition, the
// placeholders {group}, {primary}, {replica}, {primary-domain} and {other-domain} are
// replaced by the names for the group at the start of the cycle, and {daemon} by that of a
// daemon chosen at random once for a cycle. A fault that has any placeholder but {daemon}
// is injected once for each group.
//
// # Usage
//
//	e, err := experimenter.Read("experiments/failover-stop.toml")
//	if err != nil {
//		return err
//	}
//	result, err := experimenter.Perform(ctx, e, func(line string) { fmt.Println(line) })
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

// Mode is the callers' behavior in an experiment.
type Mode string

// The modes of experiments.
const (
	Load    Mode = "load"
	History Mode = "history"
)

// Experiment describes an experiment. A zero field has a default where there is one.
type Experiment struct {
	Name  string `toml:"name" json:"name"`
	About string `toml:"about" json:"about"`
	Mode  Mode   `toml:"mode" json:"mode"`
	// Deployments lists the names of deployment profiles: "trust", "umusego".
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
	// ReplicaWait is the time that a read waits for a replica before it is sent to the
	// primary. Nil means the daemon's default.
	ReplicaWait *time.Duration `toml:"replica-wait" json:"replica-wait,omitempty"`
	// Runs is the number of runs for each deployment, with seeds from FirstSeed.
	Runs      int    `toml:"runs" json:"runs"`
	FirstSeed uint64 `toml:"first-seed" json:"first-seed"`
	// Warmup is the time under load before the first cycle.
	Warmup time.Duration `toml:"warmup" json:"warmup"`
	Cycles int           `toml:"cycles" json:"cycles"`
	// Cycle is the length of a cycle.
	Cycle   time.Duration    `toml:"cycle" json:"cycle"`
	Load    LoadSettings     `toml:"load" json:"load,omitzero"`
	History HistorySettings  `toml:"history" json:"history,omitzero"`
	Faults  []ScheduledFault `toml:"faults" json:"faults"`
}

// LoadSettings are the callers' settings in mode "load", see [loader.Settings].
type LoadSettings struct {
	Callers int            `toml:"callers" json:"callers"`
	Roam    float64        `toml:"roam" json:"roam"`
	Mix     []loader.Share `toml:"mix" json:"mix"`
	Phases  []loader.Phase `toml:"phases" json:"phases"`
}

// HistorySettings are the callers' settings in mode "history", see [historian.Settings].
type HistorySettings struct {
	Callers int           `toml:"callers" json:"callers"`
	Pause   time.Duration `toml:"pause" json:"pause"`
	Roam    float64       `toml:"roam" json:"roam"`
	Reads   float64       `toml:"reads" json:"reads"`
}

// ScheduledFault is a fault and its time after the start of the cycle.
type ScheduledFault struct {
	After time.Duration `toml:"after" json:"after"`
	// Jitter is the upper bound of a seeded random delay that is added to After.
	Jitter time.Duration `toml:"jitter" json:"jitter,omitempty"`
	deployer.Fault
}

// Parse decodes an experiment, sets the defaults and validates it. An unknown key is an
// error.
func Parse(document []byte) (Experiment, error) {
	var e Experiment
	meta, err := toml.Decode(string(document), &e)
	if err != nil {
		return e, fmt.Errorf("experimenter: decode experiment: %w", err)
	}
	if keys := meta.Undecoded(); len(keys) > 0 {
		return e, fmt.Errorf("experimenter: unknown keys %v", keys)
	}
	e.setDefaults()
	return e, e.validate()
}

// Read reads an experiment from a file, applies the overrides and parses it, see [Parse].
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

// setDefaults sets fields without a value to their defaults.
func (e *Experiment) setDefaults() {
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

// validate returns all errors of the experiment's values.
func (e *Experiment) validate() error {
	var errs []error
	if e.Mode != Load && e.Mode != History {
		errs = append(errs, fmt.Errorf("experimenter: unknown mode %q", e.Mode))
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
			errs = append(errs, fmt.Errorf("experimenter: fault %s at up to %v is not within the cycle length of %v", s.Kind, s.After+s.Jitter, e.Cycle))
		}
	}
	return errors.Join(errs...)
}

// duration returns the time during which the callers of a run send requests.
func (e *Experiment) duration() time.Duration { return e.Warmup + time.Duration(e.Cycles)*e.Cycle }

// Run is the result of one seeded run.
type Run struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	// Gaps are the failover gaps in milliseconds, one for each cycle and group.
	Gaps []float64 `json:"gaps-ms,omitempty"`
	// Load is set in mode "load".
	Load *loader.Report `json:"load,omitempty"`
	// Replicas are the shares of reads that replicas served, by class, from 0 to 1.
	Replicas map[string]float64 `json:"replica-shares,omitempty"`
	// Verdict is set in mode "history".
	Verdict *historian.Verdict `json:"verdict,omitempty"`
	// Error is the error that ended the run early, or empty.
	Error string `json:"error,omitempty"`
	// InjectedFaults lists the injected faults, each with the time since the start of its cycle.
	InjectedFaults []string `json:"strikes"`
	// Timeline is the excerpt of the deployment's timeline around the longest gap.
	Timeline []string `json:"timeline,omitempty"`
}

// Violations returns descriptions of the guarantees violated in the run, and of the keys
// whose linearizability was not decided.
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

// Result holds the results of an experiment.
type Result struct {
	Experiment Experiment `json:"experiment"`
	// Commit is the version of the code under test.
	Commit  string    `json:"commit"`
	Began   time.Time `json:"began"`
	Runs    []Run     `json:"runs"`
	Summary []Summary `json:"summary"`
}
