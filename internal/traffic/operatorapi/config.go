package operatorapi

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/internal/finding"
	"laburnumroad.dev/laburnumroad/internal/fleetconfig"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/platform"
)

// readBackTries is how often a write with an unknown outcome is read back.
const readBackTries = 3

// ConfigStore keeps the configuration on the platform.
type ConfigStore interface {
	// ReadConfig returns version 0 when there is no configuration.
	ReadConfig(ctx context.Context) (g table.Generation, text string, version uint64, err error)
	WriteConfig(ctx context.Context, version uint64, g table.Generation, text string) error
}

// GetConfig implements the service.
func (s *Server) GetConfig(ctx context.Context, _ *connect.Request[pb.GetConfigRequest]) (*connect.Response[pb.GetConfigResponse], error) {
	g, text, _, err := s.Config.ReadConfig(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "read the configuration"))
	}
	return connect.NewResponse(&pb.GetConfigResponse{Generation: int64(g), Yaml: text}), nil
}

// ApplyConfig implements the service. Of operators that race, one succeeds; the
// others get the difference to the stored configuration.
func (s *Server) ApplyConfig(ctx context.Context, req *connect.Request[pb.ApplyConfigRequest]) (*connect.Response[pb.ApplyConfigResponse], error) {
	m := req.Msg
	if _, findings := fleetconfig.Load(m.File, m.Yaml); len(findings) > 0 {
		return nil, findingsError(findings)
	}
	g, text, version, err := s.Config.ReadConfig(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "read the configuration"))
	}
	if int64(g) != m.ExpectedGeneration {
		return nil, conflictError(m.Yaml, text, g)
	}
	next := g + 1
	err = s.Config.WriteConfig(ctx, version, next, m.Yaml)
	if err != nil {
		err = s.resolveWrite(ctx, err, next, m.Yaml)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ApplyConfigResponse{Generation: int64(next)}), nil
}

// resolveWrite turns the error of a write into what is certain.
func (s *Server) resolveWrite(ctx context.Context, writeErr error, g table.Generation, yaml string) error {
	if errors.Is(writeErr, platform.ErrNotApplied) {
		return connect.NewError(connect.CodeUnavailable, errors.Wrap(writeErr, "the configuration was not stored"))
	}
	for range readBackTries {
		stored, text, _, err := s.Config.ReadConfig(ctx)
		switch {
		case err != nil:
			continue
		case stored == g && text == yaml:
			return nil
		case stored >= g:
			return conflictError(yaml, text, stored)
		}
	}
	return connect.NewError(connect.CodeUnknown,
		errors.New("it is not known whether the configuration was stored; compare with 'laburnumctl get config'"))
}

func findingsError(findings finding.List) error {
	detail := &pb.Findings{}
	for _, f := range findings {
		detail.Findings = append(detail.Findings, &pb.Finding{
			File: f.File, Line: int32(f.Line), Column: int32(f.Column), Path: f.Path, Message: f.Message,
		})
	}
	return withDetail(connect.CodeInvalidArgument, errors.Errorf("the configuration has %d findings", len(findings)), detail)
}

func conflictError(yaml, current string, g table.Generation) error {
	return withDetail(connect.CodeAborted, errors.Errorf("generation %d is stored", g), &pb.Conflict{
		CurrentGeneration: int64(g), Diff: fleetconfig.Diff(yaml, current),
	})
}

func withDetail(code connect.Code, err error, detail proto.Message) error {
	out := connect.NewError(code, err)
	if d, detailErr := connect.NewErrorDetail(detail); detailErr == nil {
		out.AddDetail(d)
	}
	return out
}
