package operator

import (
	"context"
	"errors"

	"tarragonshed.example/adopter"
	"tarragonshed.example/manifest"
	"tarragonshed.example/result"
	"tarragonshed.example/unit"
	wiremanifest "tarragonshed.example/wire/operator/gen/manifest"
	"tarragonshed.example/wire/operator/gen/types"
)

// manifestService implements the service "manifest".
type manifestService struct{ *Operator }

// Push submits a manifest to the platform for acceptance.
func (s *manifestService) Push(ctx context.Context, payload *wiremanifest.PushPayload) (*types.ManifestRecord, error) {
	if s.pusher == nil {
		return nil, notSupported("push")
	}
	if _, problems := manifest.Parse(payload.Document); problems.HasErrors() {
		return nil, invalidManifest(problems)
	}
	request := adopter.Request{ID: adopter.PushID(payload.PushID), Base: unit.ManifestVersion(payload.Base), Document: payload.Document}
	if payload.Author != nil {
		request.Author = *payload.Author
	}
	record, err := s.pusher.Push(ctx, request)
	if err != nil {
		return nil, refusal(err)
	}
	return wireRecord(record), nil
}

// invalidManifest refuses a document and lists all of its problems.
func invalidManifest(problems manifest.Problems) error {
	refused := &types.Refusal{
		Name: "refused", Code: int(result.ManifestInvalid), Outcome: string(result.NotRun), Detail: "the manifest has problems",
	}
	for _, p := range problems {
		refused.Problems = append(refused.Problems, &types.Problem{
			Code: int(p.Code), Line: p.Line, Path: p.Path, Detail: p.Detail, Warning: p.Warning,
		})
	}
	return refused
}

// Show returns the manifest in force on the daemon, or the requested version from the
// platform.
func (s *manifestService) Show(ctx context.Context, payload *wiremanifest.ShowPayload) (*wiremanifest.ShowResult, error) {
	record, document := s.Operator.manifest()
	version := unit.ManifestVersion(payload.Version)
	if version == 0 && record.Version == 0 {
		return nil, refusal(result.New(result.NoManifest, "no manifest is in force on this daemon"))
	}
	if version != 0 && version != record.Version {
		var err error
		record, document, err = s.readVersion(ctx, version)
		if err != nil {
			return nil, refusal(err)
		}
	}
	return &wiremanifest.ShowResult{Record: wireRecord(record), Document: document}, nil
}

// readVersion reads an accepted version from the platform.
func (s *manifestService) readVersion(ctx context.Context, version unit.ManifestVersion) (adopter.Record, []byte, error) {
	if s.pusher == nil {
		return adopter.Record{}, nil, errors.New("operator: no platform is configured on this daemon")
	}
	record, err := s.pusher.Version(ctx, version)
	if err != nil {
		return adopter.Record{}, nil, err
	}
	document, err := s.pusher.Document(ctx, record)
	return record, document, err
}

// History returns the records of accepted manifests, latest first.
func (s *manifestService) History(ctx context.Context, payload *wiremanifest.HistoryPayload) (*wiremanifest.HistoryResult, error) {
	if s.pusher == nil {
		return nil, notSupported("history")
	}
	records, err := s.pusher.History(ctx, payload.Limit)
	if err != nil {
		return nil, refusal(err)
	}
	response := &wiremanifest.HistoryResult{Records: []*types.ManifestRecord{}}
	for _, record := range records {
		response.Records = append(response.Records, wireRecord(record))
	}
	return response, nil
}

// Accepted returns the record of the manifest that the platform has accepted last.
func (s *manifestService) Accepted(ctx context.Context) (*types.ManifestRecord, error) {
	if s.pusher == nil {
		return nil, notSupported("platform")
	}
	record, err := s.pusher.Current(ctx)
	if err != nil {
		return nil, refusal(err)
	}
	return wireRecord(record), nil
}
