package main

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/daemon"
	"laburnumroad.dev/laburnumroad/internal/settings"
	"laburnumroad.dev/laburnumroad/internal/table"
)

// settleInterval is the longest time that spend of an idle budget stays
// unsettled. It bounds the platform's writes at the planned size.
const settleInterval = 120 * time.Second

func options(s *settings.Settings) daemon.Options {
	o := daemon.Options{
		Role: table.RoleRouter, ID: table.ProcessID(s.ID), Region: s.Region, Domain: s.Domain,
		PeerListen: s.Peer.Listen, PeerAddress: s.Peer.Advertise, CallerListen: s.CallerListen,
		OperatorListen: s.OperatorListen, DebugListen: s.DebugListen,
		PlatformURL: s.PlatformURL, Seeds: s.Seeds, Trace: traceTarget(s.Trace),
		DrainTimeout: s.DrainTimeout, AnswerRetention: s.AnswerRetention, DetachGrace: s.DetachGrace,
		GrantLifetime: s.GrantLifetime, SettleInterval: settleInterval, LedgerShards: uint32(s.LedgerShards),
		MaxPromptBytes: int(s.MaxPromptBytes), MaxBodyBytes: int(s.MaxBodyBytes),
	}
	if s.Role == settings.RoleAgent {
		o.Role = table.RoleAgent
	}
	if !s.TLS.Plaintext {
		o.TLS = &daemon.TLSFiles{Cert: s.TLS.CertFile, Key: s.TLS.KeyFile, CA: s.TLS.CAFile}
	}
	for _, k := range s.OperatorKeys {
		o.OperatorKeys = append(o.OperatorKeys, table.KeyHash(k))
	}
	for _, e := range s.Endpoints {
		o.Endpoints = append(o.Endpoints, daemon.EndpointOptions{
			ID: table.EndpointID(e.ID), Service: table.ServiceName(e.Service), URL: e.URL,
			Slots: e.Slots, ChecksFencing: e.ChecksFencing,
		})
	}
	return o
}

func traceTarget(t settings.Trace) string {
	if t.Target != "" {
		return t.Target
	}
	return string(t.Kind)
}
