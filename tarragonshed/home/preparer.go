package home

import (
	"container/list"
	"crypto/sha256"
	"slices"

	"tarragonshed.example/wire/peer"
)

// maxPrepared is the maximum number of named statements kept on a connection.
const maxPrepared = 256

// preparer tracks the statements that are prepared on one connection.
type preparer struct {
	byName map[string]*list.Element
	order  *list.List // The most recently used statement is at the front.
}

// prepared is one statement. An uncertain statement may not exist. The query itself is not kept: it may
// be as long as a message, and the connection outlives the session that prepared it.
type prepared struct {
	name      string
	query     [sha256.Size]byte // Its digest.
	types     []uint32
	uncertain bool
}

func newPreparer() *preparer {
	return &preparer{byName: make(map[string]*list.Element), order: list.New()}
}

// has reports whether the statement is prepared with this definition.
func (p *preparer) has(s *peer.Statement) bool {
	element, ok := p.byName[s.Name]
	if !ok {
		return false
	}
	known := element.Value.(*prepared)
	if known.uncertain || known.query != sha256.Sum256(s.Query) || !slices.Equal(known.types, s.ParameterTypes) {
		return false
	}
	p.order.MoveToFront(element)
	return true
}

// mayExist reports whether a statement with the name may exist.
func (p *preparer) mayExist(name string) bool {
	_, ok := p.byName[name]
	return ok
}

// add registers a statement that is being prepared.
func (p *preparer) add(name string, query []byte, types []uint32) {
	p.drop(name)
	p.byName[name] = p.order.PushFront(&prepared{name: name, query: sha256.Sum256(query), types: types})
}

// markUncertain marks a statement whose Parse or Close was skipped.
func (p *preparer) markUncertain(name string) {
	if name == "" {
		p.drop(name)
		return
	}
	if _, ok := p.byName[name]; !ok {
		p.add(name, nil, nil)
	}
	p.byName[name].Value.(*prepared).uncertain = true
}

func (p *preparer) drop(name string) {
	if element, ok := p.byName[name]; ok {
		p.order.Remove(element)
		delete(p.byName, name)
	}
}

func (p *preparer) dropUnnamed() { p.drop("") }

// evictable returns the least recently used statement if there are more than
// maxPrepared.
func (p *preparer) evictable() (string, bool) {
	if p.order.Len() <= maxPrepared {
		return "", false
	}
	return p.order.Back().Value.(*prepared).name, true
}
