package operatorapi

import (
	"fmt"
	"time"

	pb "laburnumroad.dev/laburnumroad/gen/laburnumroad/v1"
	"laburnumroad.dev/laburnumroad/internal/command"
	"laburnumroad.dev/laburnumroad/internal/table"
)

func statusMessage(reply command.StatusReply) *pb.StatusResponse {
	resp := &pb.StatusResponse{
		AnsweredBy: string(reply.Self), Generation: int64(reply.Generation),
		PlatformReachable: reply.PlatformReachable, PlatformSinceSeconds: int64(reply.PlatformStateAge.Seconds()),
	}
	for _, p := range reply.Processes {
		resp.Processes = append(resp.Processes, processMessage(p, reply))
	}
	for _, e := range reply.Endpoints {
		resp.Endpoints = append(resp.Endpoints, endpointMessage(e))
	}
	for _, f := range reply.Quarantined {
		resp.Quarantined = append(resp.Quarantined, fmt.Sprintf("%016x", uint64(f)))
	}
	for _, b := range reply.ShortBudgets {
		resp.ShortBudgets = append(resp.ShortBudgets, string(b))
	}
	return resp
}

func processMessage(p table.Process, reply command.StatusReply) *pb.Process {
	return &pb.Process{
		Id: string(p.Process), Role: p.Role.String(), Domain: p.Domain, State: p.State.String(),
		Generation: int64(p.Generation), Lagging: p.Generation < reply.Generation,
		LastHeardMs: reply.Now.Sub(p.LastHeard).Milliseconds(),
	}
}

func endpointMessage(e table.Endpoint) *pb.Endpoint {
	state := e.State.String()
	if e.Ejected {
		state = "ejected"
	}
	return &pb.Endpoint{
		Id: string(e.ID), Service: string(e.Service), Agent: string(e.Agent), State: state, Reason: e.Reason,
		InFlight: int64(e.AgentInFlight), Slots: int64(e.Slots),
		FirstTokenMs: milliseconds(e.FirstTokenTime), TokenMs: milliseconds(e.TokenTime),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
