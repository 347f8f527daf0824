package home

import (
	"container/list"
	"slices"

	"tarragonshed.example/wire/peer"
)

// maxPrepared is the number of named statements that are kept on a connection.
const maxPrepared = 256

// preparer knows the statements that are prepared on one connection.
type preparer struct {
	byName map[string]*list.Element
	order  *list.List // The one used last is at the front.
}

// prepared is one statement. An uncertain one may or may not exist.
type prepared struct {
	name      string
	query     string
	types     []uint32
	uncertain bool
}

func newPreparer() *preparer {
	return &preparer{byName: make(map[string]*list.Element), order: list.New()}
}

// has reports whether the statement is prepared as given.
func (p *preparer) has(s *peer.Statement) bool {
	element, ok := p.byName[s.Name]
	if !ok {
		return false
	}
	known := element.Value.(*prepared)
	if known.uncertain || known.query != s.Query || !slices.Equal(known.types, s.ParameterTypes) {
		return false
	}
	p.order.MoveToFront(element)
	return true
}

// exists reports whether a statement of the name may exist.
func (p *preparer) exists(name string) bool {
	_, ok := p.byName[name]
	return ok
}

// note keeps a statement that is being prepared.
func (p *preparer) note(name, query string, types []uint32) {
	p.drop(name)
	p.byName[name] = p.order.PushFront(&prepared{name: name, query: query, types: types})
}

// doubt marks a statement whose Parse or Close was skipped.
func (p *preparer) doubt(name string) {
	if name == "" {
		p.drop(name)
		return
	}
	if _, ok := p.byName[name]; !ok {
		p.note(name, "", nil)
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

// surplus returns the statement used longest ago when there are too many.
func (p *preparer) surplus() (string, bool) {
	if p.order.Len() <= maxPrepared {
		return "", false
	}
	return p.order.Back().Value.(*prepared).name, true
}
