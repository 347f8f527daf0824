package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"sync"

	"tarragonshed.example/wire/platform/gen/object"
)

// objectService holds the objects by name.
type objectService struct {
	mu      sync.Mutex
	objects map[string]object.GetResult
}

// Put stores an object under a name and replaces an earlier one.
func (s *objectService) Put(_ context.Context, payload *object.PutPayload) (*object.PutResult, error) {
	sum := sha256.Sum256(payload.Content)
	etag := hex.EncodeToString(sum[:])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[payload.Name] = object.GetResult{Content: append([]byte{}, payload.Content...), Etag: etag}
	return &object.PutResult{Etag: etag}, nil
}

// Get returns an object.
func (s *objectService) Get(_ context.Context, payload *object.GetPayload) (*object.GetResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.objects[payload.Name]
	if !ok {
		return nil, object.MakeNotFound(fmt.Errorf("platform: there is no object %q", payload.Name))
	}
	return &found, nil
}

// List returns the objects whose name starts with the prefix, ordered by name.
func (s *objectService) List(_ context.Context, payload *object.ListPayload) (*object.ListResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []*object.ObjectEntry{}
	for name, o := range s.objects {
		if payload.Prefix != nil && !strings.HasPrefix(name, *payload.Prefix) {
			continue
		}
		entries = append(entries, &object.ObjectEntry{Name: name, Etag: o.Etag, Size: int64(len(o.Content))})
	}
	slices.SortFunc(entries, func(a, b *object.ObjectEntry) int { return strings.Compare(a.Name, b.Name) })
	return &object.ListResult{Objects: entries}, nil
}
