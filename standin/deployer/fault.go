package deployer

import (
	"fmt"
	"strings"
	"time"

	"tarragonshed.example/recorder"
	"tarragonshed.example/standin/shaper"
	"tarragonshed.example/unit"
)

// FaultKind names a fault in kebab case.
type FaultKind string

// The kinds of faults.
const (
	StopTarget          FaultKind = "stop-target"
	StartTarget         FaultKind = "start-target"
	PauseTarget         FaultKind = "pause-target"
	ResumeTarget        FaultKind = "resume-target"
	Cut                 FaultKind = "cut"
	Heal                FaultKind = "heal"
	Lag                 FaultKind = "lag"
	Silence             FaultKind = "silence"
	PlatformDown        FaultKind = "platform-down"
	PlatformUp          FaultKind = "platform-up"
	PlatformSlow        FaultKind = "platform-slow"
	PlatformLoseAnswers FaultKind = "platform-lose-answers"
	StopDaemon          FaultKind = "stop-daemon"
	StartDaemon         FaultKind = "start-daemon"
	PauseDaemon         FaultKind = "pause-daemon"
	ResumeDaemon        FaultKind = "resume-daemon"
	MarkLeaving         FaultKind = "mark-leaving"
)

// FaultKinds lists all kinds, for help texts.
var FaultKinds = []FaultKind{
	StopTarget, StartTarget, PauseTarget, ResumeTarget, Cut, Heal, Lag, Silence,
	PlatformDown, PlatformUp, PlatformSlow, PlatformLoseAnswers,
	StopDaemon, StartDaemon, PauseDaemon, ResumeDaemon, MarkLeaving,
}

// Fault is one fault to inject or to end.
type Fault struct {
	Kind FaultKind `json:"kind" toml:"kind"`
	// Target is an instance name or "primary:GROUP".
	Target string `json:"target,omitempty" toml:"target"`
	// Daemon is a daemon id.
	Daemon unit.DaemonID `json:"daemon,omitempty" toml:"daemon"`
	// From and To are the sides of a cut or of silenced connections:
	// "domain:NAME", "vm:NAME", "target:NAME", "primary:GROUP",
	// "callers:DOMAIN", "vms", "targets", "callers", "platform" or "any".
	From string `json:"from,omitempty" toml:"from"`
	To   string `json:"to,omitempty" toml:"to"`
	// OneWay blocks traffic from From to To only.
	OneWay bool `json:"one-way,omitempty" toml:"one-way"`
	// By is the lag of a replica or the delay of the platform.
	By time.Duration `json:"by,omitempty" toml:"by"`
	// Receive makes the replica lag in receiving instead of in applying.
	Receive bool `json:"receive,omitempty" toml:"receive"`
	// Share is the share of the platform's answers that are lost, from 0 to 1.
	Share float64 `json:"share,omitempty" toml:"share"`
	Seed  uint64  `json:"seed,omitempty" toml:"seed"`
}

// String formats the fault as the command line of its injection.
func (f Fault) String() string {
	parts := []string{string(f.Kind)}
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, "--"+name, value)
		}
	}
	add("target", f.Target)
	add("daemon", string(f.Daemon))
	add("from", f.From)
	add("to", f.To)
	if f.OneWay {
		parts = append(parts, "--one-way")
	}
	if f.By != 0 {
		add("by", f.By.String())
	}
	if f.Share != 0 {
		add("share", fmt.Sprint(f.Share))
	}
	return strings.Join(parts, " ")
}

// Inject injects or ends a fault and records it in the timeline. If it returns an error,
// the fault has had no effect.
func (d *Deployment) Inject(f Fault) error {
	if err := d.inject(f); err != nil {
		return err
	}
	d.rec.Record(recorder.Event{Kind: recorder.FaultInjected, Detail: f.String()})
	return nil
}

func (d *Deployment) inject(f Fault) error {
	switch f.Kind {
	case StopTarget, StartTarget, PauseTarget, ResumeTarget, Lag:
		return d.injectTarget(f)
	case StopDaemon, StartDaemon, PauseDaemon, ResumeDaemon:
		return d.injectDaemon(f)
	case Cut, Silence:
		return d.injectNetwork(f)
	case Heal:
		d.Network.Heal()
		return nil
	case PlatformDown:
		d.Platform.Down(true)
		return nil
	case PlatformUp:
		d.Platform.Down(false)
		d.Platform.Slow(0)
		d.Platform.LoseAnswers(0, f.Seed)
		return nil
	case PlatformSlow:
		d.Platform.Slow(f.By)
		return nil
	case PlatformLoseAnswers:
		if f.Share < 0 || f.Share > 1 {
			return fmt.Errorf("deployer: share %v is not between 0 and 1", f.Share)
		}
		d.Platform.LoseAnswers(f.Share, f.Seed)
		return nil
	case MarkLeaving:
		return d.markLeaving(f)
	default:
		return fmt.Errorf("deployer: unknown kind of fault %q", f.Kind)
	}
}

func (d *Deployment) injectTarget(f Fault) error {
	t, err := d.target(f.Target)
	if err != nil {
		return err
	}
	switch f.Kind {
	case StopTarget:
		return t.Close()
	case StartTarget:
		return t.Restart()
	case PauseTarget:
		t.Pause()
	case ResumeTarget:
		t.Resume()
	case Lag:
		if f.Receive {
			t.SetReceiveLag(f.By)
		} else {
			t.SetApplyLag(f.By)
		}
	}
	return nil
}

func (d *Deployment) injectDaemon(f Fault) error {
	if _, ok := d.daemons[f.Daemon]; !ok {
		return fmt.Errorf("deployer: no daemon %q", f.Daemon)
	}
	switch f.Kind {
	case StopDaemon:
		return d.stopDaemon(f.Daemon)
	case StartDaemon:
		return d.startDaemon(f.Daemon)
	case PauseDaemon:
		d.Network.Pause(shaper.Name(f.Daemon))
	case ResumeDaemon:
		d.Network.Resume(shaper.Name(f.Daemon))
	}
	return nil
}

func (d *Deployment) injectNetwork(f Fault) error {
	from, err := d.selector(f.From)
	if err != nil {
		return err
	}
	to, err := d.selector(f.To)
	if err != nil {
		return err
	}
	if f.Kind == Silence {
		d.Network.Silence(from, to)
		return nil
	}
	direction := shaper.BothWays
	if f.OneWay {
		direction = shaper.Forward
	}
	d.Network.Cut(from, to, direction)
	return nil
}

// selector parses one side of a cut or of silenced connections, as in [Fault.From].
func (d *Deployment) selector(text string) (shaper.Selector, error) {
	switch text {
	case "any":
		return shaper.Any, nil
	case "vms":
		return shaper.OfKind(shaper.VM), nil
	case "targets":
		return shaper.OfKind(shaper.Target), nil
	case "callers":
		return shaper.OfKind(shaper.Callers), nil
	case "platform":
		return shaper.OfKind(shaper.Platform), nil
	}
	kind, name, _ := strings.Cut(text, ":")
	switch kind {
	case "domain":
		return shaper.Domain(unit.DomainName(name)), nil
	case "vm", "target":
		return shaper.Named(shaper.Name(name)), nil
	case "callers":
		return shaper.Named(callersNode(unit.DomainName(name))), nil
	case "primary":
		t, err := d.target(text)
		if err != nil {
			return nil, err
		}
		return shaper.Named(shaper.Name(t.Report().Instance)), nil
	}
	return nil, fmt.Errorf("deployer: %q does not select any nodes", text)
}
