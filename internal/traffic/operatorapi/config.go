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

// readBackAttempts is the number of attempts to read the configuration back after a
// write with an unknown outcome.
const readBackAttempts = 3

// ConfigStore stores the configuration on the platform.
type ConfigStore interface {
	// ReadConfig returns version 0 if no configuration is stored.
	ReadConfig(ctx context.Context) (generation table.Generation, yaml string, version uint64, err error)
	// WriteConfig stores the configuration if the stored version is still version.
	WriteConfig(ctx context.Context, version uint64, generation table.Generation, yaml string) error
}

// GetConfig implements OperatorService.
func (s *Server) GetConfig(ctx context.Context, _ *connect.Request[pb.GetConfigRequest]) (*connect.Response[pb.GetConfigResponse], error) {
	generation, yaml, _, err := s.Config.ReadConfig(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "read the configuration"))
	}
	return connect.NewResponse(&pb.GetConfigResponse{Generation: int64(generation), Yaml: yaml}), nil
}

// ApplyConfig implements OperatorService. If several operators apply a configuration
// concurrently, one succeeds and the others get a diff against the stored one.
func (s *Server) ApplyConfig(ctx context.Context, req *connect.Request[pb.ApplyConfigRequest]) (*connect.Response[pb.ApplyConfigResponse], error) {
	msg := req.Msg
	if _, findings := fleetconfig.Load(msg.File, msg.Yaml); len(findings) > 0 {
		return nil, findingsError(findings)
	}
	generation, storedYAML, storeVersion, err := s.Config.ReadConfig(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "read the configuration"))
	}
	if int64(generation) != msg.ExpectedGeneration {
		return nil, conflictError(msg.Yaml, storedYAML, generation)
	}
	newGeneration := generation + 1
	err = s.Config.WriteConfig(ctx, storeVersion, newGeneration, msg.Yaml)
	if err != nil {
		err = s.resolveWrite(ctx, err, newGeneration, msg.Yaml)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ApplyConfigResponse{Generation: int64(newGeneration)}), nil
}

// resolveWrite determines the outcome of a failed write. If the error leaves it open,
// the configuration is read back. It returns nil if the write took effect.
func (s *Server) resolveWrite(ctx context.Context, writeErr error, generation table.Generation, yaml string) error {
	if errors.Is(writeErr, platform.ErrNotApplied) {
		return connect.NewError(connect.CodeUnavailable, errors.Wrap(writeErr, "the configuration was not stored"))
	}
	for range readBackAttempts {
		storedGeneration, storedYAML, _, err := s.Config.ReadConfig(ctx)
		switch {
		case err != nil:
			continue
		case storedGeneration == generation && storedYAML == yaml:
			return nil
		case storedGeneration >= generation:
			return conflictError(yaml, storedYAML, storedGeneration)
		}
	}
	return connect.NewError(connect.CodeUnknown,
		errors.New("it is not known whether the configuration was stored; compare with 'laburnumctl get config'"))
}

// findingsError returns an error with the findings as its detail.
func findingsError(findings finding.List) error {
	detail := &pb.Findings{}
	for _, f := range findings {
		detail.Findings = append(detail.Findings, &pb.Finding{
			File: f.File, Line: int32(f.Line), Column: int32(f.Column), Path: f.Path, Message: f.Message,
		})
	}
	return withDetail(connect.CodeInvalidArgument, errors.Errorf("the configuration has %d findings", len(findings)), detail)
}

// conflictError returns an error with the stored generation and a diff as its detail.
func conflictError(yaml, storedYAML string, generation table.Generation) error {
	return withDetail(connect.CodeAborted, errors.Errorf("generation %d is stored", generation), &pb.Conflict{
		CurrentGeneration: int64(generation), Diff: fleetconfig.Diff(yaml, storedYAML),
	})
}

// withDetail returns a Connect error with a detail. If the detail can't be encoded, the
// error has none.
func withDetail(code connect.Code, err error, detail proto.Message) error {
	connectErr := connect.NewError(code, err)
	if d, detailErr := connect.NewErrorDetail(detail); detailErr == nil {
		connectErr.AddDetail(d)
	}
	return connectErr
}
