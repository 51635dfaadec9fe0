package main

import (
	"time"

	"laburnumroad.dev/laburnumroad/internal/daemon"
	"laburnumroad.dev/laburnumroad/internal/settings"
	"laburnumroad.dev/laburnumroad/internal/table"
	"laburnumroad.dev/laburnumroad/internal/traffic/guard"
)

// settleInterval is the maximum time that the spending of an idle budget stays
// unsettled. It limits the rate of platform writes at the planned fleet size.
const settleInterval = 120 * time.Second

// reservedDescriptors are the descriptors of a daemon that are not for connections: output,
// files, listeners and polling.
const reservedDescriptors = 32

func daemonOptions(s *settings.Settings) daemon.Options {
	opts := daemon.Options{
		Role: table.RoleRouter, ID: table.ProcessID(s.ID), Region: s.Region, Domain: s.Domain,
		PeerListen: s.Peer.Listen, PeerAddress: s.Peer.Advertise, CallerListen: s.CallerListen,
		OperatorListen: s.OperatorListen, DebugListen: s.DebugListen,
		PlatformURL: s.PlatformURL, Seeds: s.Seeds, Trace: traceOutput(s.Trace),
		DrainTimeout: s.DrainTimeout, AnswerRetention: s.AnswerRetention, DetachGrace: s.DetachGrace,
		GrantLifetime: s.GrantLifetime, SettleInterval: settleInterval, LedgerShards: uint32(s.LedgerShards),
		MaxPromptBytes: int(s.MaxPromptBytes), MaxBodyBytes: int(s.MaxBodyBytes), Host: host(s),
	}
	if s.Role == settings.RoleAgent {
		opts.Role = table.RoleAgent
	}
	if !s.TLS.Plaintext {
		opts.TLS = &daemon.TLSFiles{Cert: s.TLS.CertFile, Key: s.TLS.KeyFile, CA: s.TLS.CAFile}
	}
	for _, k := range s.OperatorKeys {
		opts.OperatorKeys = append(opts.OperatorKeys, table.KeyHash(k))
	}
	for _, e := range s.Endpoints {
		opts.Endpoints = append(opts.Endpoints, daemon.EndpointOptions{
			ID: table.EndpointID(e.ID), Service: table.ServiceName(e.Service), URL: e.URL,
			Slots: e.Slots, ChecksFencing: e.ChecksFencing,
		})
	}
	return opts
}

// host returns what the daemon may use of its host: what the settings say, else what the
// operating system says.
func host(s *settings.Settings) guard.Host {
	h := guard.SystemHost()
	if s.MemoryBytes > 0 {
		h.MemoryBytes = s.MemoryBytes
	}
	if s.MaxDescriptors > 0 {
		h.Sockets = min(h.Sockets, s.MaxDescriptors)
	}
	h.Sockets -= reservedDescriptors
	return h
}

func traceOutput(t settings.Trace) string {
	if t.Target != "" {
		return t.Target
	}
	return string(t.Kind)
}
