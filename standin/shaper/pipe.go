package shaper

import (
	"net"
	"os"
	"sync"
	"time"
)

// chunk is data in flight.
type chunk struct {
	data []byte
	due  time.Time
}

// pipe is one direction of a connection: a bounded queue of chunks that arrive
// after a delay.
type pipe struct {
	delay time.Duration

	mu      sync.Mutex
	chunks  []chunk
	bytes   int
	err     error
	endedAt time.Time
	changed chan struct{}
}

func newPipe(delay time.Duration) *pipe {
	return &pipe{delay: delay, changed: make(chan struct{})}
}

// push queues a copy of data. It blocks while too much data is in flight.
func (p *pipe) push(data []byte, closed <-chan struct{}, d *deadline) error {
	if len(data) == 0 {
		return nil
	}
	for {
		select {
		case <-closed:
			return net.ErrClosed
		case <-d.passed():
			return os.ErrDeadlineExceeded
		default:
		}
		p.mu.Lock()
		if p.err != nil {
			defer p.mu.Unlock()
			return p.err
		}
		if p.bytes < pipeBytes {
			p.chunks = append(p.chunks, chunk{data: append([]byte(nil), data...), due: time.Now().Add(p.delay)})
			p.bytes += len(data)
			p.notify()
			p.mu.Unlock()
			return nil
		}
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-closed:
		case <-d.passed():
		}
	}
}

// end makes take return err once everything queued has been taken.
func (p *pipe) end(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return
	}
	p.err = err
	p.endedAt = time.Now()
	p.notify()
}

// take returns the next chunk when it is due and the gate is open.
func (p *pipe) take(gate func() (bool, <-chan struct{}), stop <-chan struct{}, d *deadline) ([]byte, error) {
	for {
		select {
		case <-stop:
			return nil, net.ErrClosed
		case <-d.passed():
			return nil, os.ErrDeadlineExceeded
		default:
		}
		blocked, opened := gate()
		data, wait, changed, err := p.poll(blocked)
		if data != nil || err != nil {
			return data, err
		}
		var timer *time.Timer
		var due <-chan time.Time
		if wait > 0 {
			timer = time.NewTimer(wait)
			due = timer.C
		}
		select {
		case <-opened:
		case <-changed:
		case <-due:
		case <-stop:
		case <-d.passed():
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

// poll returns the next chunk, the error set by end, or how long to wait for either.
// A wait of zero means to wait for a change.
func (p *pipe) poll(blocked bool) (data []byte, wait time.Duration, changed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if blocked {
		return nil, 0, p.changed, nil
	}
	if len(p.chunks) == 0 {
		if p.err == nil {
			return nil, 0, p.changed, nil
		}
		if wait := time.Until(p.endedAt.Add(p.delay)); wait > 0 {
			return nil, wait, p.changed, nil
		}
		return nil, 0, p.changed, p.err
	}
	head := p.chunks[0]
	if wait := time.Until(head.due); wait > 0 {
		return nil, wait, p.changed, nil
	}
	p.chunks[0] = chunk{}
	p.chunks = p.chunks[1:]
	p.bytes -= len(head.data)
	p.notify()
	return head.data, 0, p.changed, nil
}

func (p *pipe) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// deadline is a point in time that can be moved while goroutines wait for it. A nil
// deadline never passes.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	done  chan struct{}
}

// set moves the deadline. The zero time removes it.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.done
	}
	d.timer = nil
	if d.done == nil {
		d.done = make(chan struct{})
	}
	select {
	case <-d.done:
		d.done = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return
	}
	done := d.done
	if wait := time.Until(t); wait > 0 {
		d.timer = time.AfterFunc(wait, func() { close(done) })
		return
	}
	close(done)
}

// passed returns a channel that is closed when the deadline has passed.
func (d *deadline) passed() <-chan struct{} {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.done == nil {
		d.done = make(chan struct{})
	}
	return d.done
}
