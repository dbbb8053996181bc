package settings

import (
	"time"

	"wagtailford.example/server/coordination/routing"
)

const (
	kib = 1 << 10
	mib = 1 << 20
	day = 24 * time.Hour
)

// keysOf lists every key in the order of the file, bound to the fields of s.
func keysOf(s *Settings) []key {
	var keys []key
	for _, group := range [][]key{
		nodeKeys(&s.Node), listenKeys(&s.Listen), securityKeys(&s.Security), logKeys(&s.Log),
		fanoutKeys(&s.Fanout), membershipKeys(&s.Membership), routingKeys(&s.Routing),
		admissionKeys(&s.Admission), keyRecordKeys(&s.Keys), suspectKeys(&s.Suspects),
		limitKeys(&s.Limits), quotaKeys(&s.Quota), targetKeys(&s.Target), platformKeys(&s.Platform), rolloutKeys(&s.Rollout),
	} {
		keys = append(keys, group...)
	}
	return keys
}

func nodeKeys(n *Node) []key {
	return section("node",
		name("name", &n.Name, required, "name of the node, unique in the cluster"),
		name("cluster", &n.Cluster, required, "name of the cluster; nodes of other clusters are refused"),
		name("region", &n.Region, required, "region of the VM"),
		name("failure_domain", &n.FailureDomain, required, "failure domain of the VM"),
		addresses("seeds", &n.Seeds, "peer addresses of other nodes, used when the log has none"),
		choice("profile", (*string)(&n.Profile), string(ConvergenceFirst), "defaults that favour convergence time or control bytes",
			string(ConvergenceFirst), string(BytesFirst)),
		size("memory_limit", &n.MemoryLimit, "64MiB", 16*mib, 4096*mib, "soft memory limit of the process"),
		bandwidth("link", &n.LinkMbps, "0Mbps", 1e6, "bandwidth of the VM's network link; nodes with a wide one read and pass on configurations; 0 if not known"),
		duration("shutdown_timeout", &n.ShutdownTimeout, "30s", time.Second, time.Hour, "bound of a graceful shutdown"),
	)
}

func listenKeys(l *Listen) []key {
	return section("listen",
		address("peer", &l.Peer, required, "address for other nodes"),
		address("peer_advertised", &l.PeerAdvertised, optional, "address at which other nodes reach this one, if it is not peer"),
		address("ingress", &l.Ingress, required, "address for callers"),
		address("operator", &l.Operator, optional, "address for operators; empty for none"),
		address("announce", &l.Announce, required, "loopback address for the target"),
		address("admin", &l.Admin, required, "loopback address for metrics, dump and health"),
		address("ready", &l.Ready, optional, "address where the platform asks whether callers should use the node"),
		boolean("profile", &l.Profile, "serves processor and memory profiles on the admin address"),
	)
}

func securityKeys(s *Security) []key {
	return section("security",
		text("cluster_credential", &s.ClusterCredential, "credential that all nodes share, at least 16 bytes"),
		text("cluster_credential_file", &s.ClusterCredentialFile, "file with the credential, instead of cluster_credential"),
		text("operator_cert_file", &s.OperatorCertFile, "certificate of the operator listener, PEM"),
		text("operator_key_file", &s.OperatorKeyFile, "private key of the operator listener, PEM"),
		text("operator_ca_file", &s.OperatorCAFile, "certificate authority of operators' certificates, PEM"),
		boolean("operator_insecure", &s.OperatorInsecure, "allows operators without TLS on a non-loopback address"),
	)
}

func logKeys(l *Log) []key {
	return section("log",
		text("url", &l.URL, "base URL of the log service; required without a platform"),
		duration("append_timeout", &l.AppendTimeout, "3s", 100*time.Millisecond, time.Minute, "time limit of an append"),
		duration("poll_wait", &l.PollWait, "10s", 100*time.Millisecond, time.Minute, "how long a read of the log waits for records"),
		duration("retention", &l.Retention, "24h", time.Second, 365*day, "how long the log keeps records"),
		integer("snapshot_records", &l.SnapshotRecords, "500", 1, 100000, "records after which a snapshot is written"),
		integer("delta_window_records", &l.DeltaWindowRecords, "1024", 16, 100000, "records that a parent keeps for its children"),
		duration("retry_max", &l.RetryMax, "5s", 100*time.Millisecond, time.Minute, "longest wait between two attempts to reach the log"),
	)
}

func fanoutKeys(f *Fanout) []key {
	return section("fanout",
		choice("mode", &f.Mode, FanoutTree, "tree, or flat for a small fleet in which every node follows the log", FanoutTree, FanoutFlat),
		integer("followers_per_domain", &f.FollowersPerDomain, "2", 2, 16, "log followers in each failure domain; two watch each other"),
		integer("relay_children", &f.RelayChildren, "16", 2, 1000, "children that a relay serves"),
		duration("sync_hold", &f.SyncHold, "1s", 50*time.Millisecond, 30*time.Second, "how long a parent keeps a poll open").profiled("3s"),
		duration("coalesce_window", &f.CoalesceWindow, "20ms", 0, 5*time.Second, "how long a parent collects changes before it answers").profiled("500ms"),
		rate("sync_admission_rate", &f.SyncAdmissionRate, "50/s", 1, 10000, "new children that a parent admits"),
		duration("reconnect_jitter", &f.ReconnectJitter, "500ms", 0, time.Minute, "largest random delay before a reconnect"),
		duration("seed_interval", &f.SeedInterval, "10m", time.Second, day, "interval at which followers publish seed addresses"),
	)
}

func membershipKeys(m *Membership) []key {
	return section("membership",
		duration("suspect_after", &m.SuspectAfter, "1s", 50*time.Millisecond, time.Minute, "overdue time of a heartbeat after which a node is suspected").profiled("2s"),
		duration("dead_after", &m.DeadAfter, "5s", 100*time.Millisecond, 10*time.Minute, "time without heartbeat after which a node is declared dead").profiled("9s"),
		duration("self_fence", &m.SelfFence, "4s", 100*time.Millisecond, 10*time.Minute, "time without contact after which a node starts no request that has a key").profiled("7s"),
		fraction("panic_fraction", &m.PanicFraction, "0.5", "fraction of alive targets below which suspect and dead ones are tried too"),
	)
}

func routingKeys(r *Routing) []key {
	return section("routing",
		duration("default_timeout", &r.DefaultTimeout, "10s", 10*time.Millisecond, 10*time.Minute, "time limit of a request whose route sets none"),
		integer("max_attempts", &r.MaxAttempts, "4", 1, 10, "attempts of one hop whose route sets none"),
		integer("chain_attempts", &r.ChainAttempts, "12", 1, 100, "attempts of a whole call chain"),
		fraction("retry_fraction", &r.RetryFraction, "0.15", "retries as a fraction of first attempts"),
		integer("eject_failures", &r.EjectFailures, "3", 1, 100, "consecutive failures after which a target is ejected"),
		duration("eject_time", &r.EjectTime, "5s", 100*time.Millisecond, 10*time.Minute, "how long a target stays ejected"),
		duration("slow_start", &r.SlowStart, "10s", 0, 10*time.Minute, "time over which a new target gets its full share"),
		integer("max_depth", &r.MaxDepth, "16", 1, 64, "hops of a call chain"),
		duration("repeat_window", &r.RepeatWindow, "10s", time.Second, 10*time.Minute, "time over which all nodes together count repeats"),
		duration("domain_byte_cost", &r.DomainByteCost, "40ms", 0, 10*time.Second, "wait inside the failure domain that is preferred to sending a kilobyte to another one"),
		duration("region_cost", &r.RegionCost, "50ms", 0, 10*time.Second, "wait inside the region that is preferred to a target in another one"),
		choice("balance", &r.Balance, routing.BalanceLowestCost, "how a node selects targets: the least expected time to a response, or even load where many nodes choose by stale reports (hosted nodes)",
			routing.BalanceLowestCost, routing.BalanceEvenLoad),
		integer("repeat_slack", &r.RepeatSlack, "50", 0, 100000, "repeats of all nodes together in a window beside retry_fraction"),
	)
}

func admissionKeys(a *Admission) []key {
	return section("admission",
		integer("slots", &a.Slots, "18", 1, 10000, "concurrent requests of a target that announces no number"),
		integer("queue", &a.Queue, "36", 0, 100000, "requests that wait for a slot"),
		integer("workers", &a.Workers, "512", 1, 100000, "requests in progress in this process"),
		boolean("hold_broken", &a.HoldBroken, "keeps the slot of a broken-off request counted until the target is known to drop such requests"),
		fraction("nested_wait_share", &a.NestedWaitShare, "1", "part of the longest wait for which calls of running requests may wait while such calls are refused"),
	)
}

func keyRecordKeys(k *Keys) []key {
	return section("keys",
		duration("key_retention", &k.KeyRetention, "10m", time.Second, 7*day, "how long a key is remembered and callers may repeat it"),
		duration("clock_skew_max", &k.ClockSkewMax, "2s", 10*time.Millisecond, time.Hour, "largest difference of two clocks"),
		integer("records_max", &k.RecordsMax, "50000", 1, 10000000, "keys remembered; more are refused"),
		size("answer_bytes_max", &k.AnswerBytesMax, "8MiB", 0, 4096*mib, "recorded answers; the oldest are dropped first"),
	)
}

func suspectKeys(s *Suspects) []key {
	return section("suspects",
		integer("crash_limit", &s.CrashLimit, "2", 1, 100, "crashes after which a request is refused, counted while it runs alone"),
		duration("suspect_ttl", &s.SuspectTTL, "10m", time.Second, 7*day, "how long crashes of a request are remembered"),
		integer("suspects_max", &s.SuspectsMax, "16", 1, 256, "requests under suspicion that a node remembers"),
	)
}

func limitKeys(l *Limits) []key {
	return section("limits",
		size("body_max", &l.BodyMax, "1MiB", kib, 64*mib, "largest body of a request or response"),
		size("header_max", &l.HeaderMax, "16KiB", kib, mib, "largest header of a request"),
		size("caller_bytes_max", &l.CallerBytesMax, "32MiB", mib, 4096*mib, "bytes of all callers' requests and of the responses to them; beyond it, connections are closed, unfinished requests first"),
		integer("connections_max", &l.ConnectionsMax, "2048", 1, 100000, "connections of each listener"),
		duration("read_timeout", &l.ReadTimeout, "30s", 100*time.Millisecond, 10*time.Minute, "time limit for reading a request"),
		size("upload_rate_min", &l.UploadRateMin, "1KiB", 0, mib, "bytes per second that the rest of a streamed body needs while a target waits for it; 0 for none"),
		duration("upload_window", &l.UploadWindow, "10s", time.Second, 10*time.Minute, "how long a caller may be behind upload_rate_min"),
		duration("idle_timeout", &l.IdleTimeout, "60s", 100*time.Millisecond, time.Hour, "how long an idle connection is kept"),
		duration("silence_timeout", &l.SilenceTimeout, "1s", 50*time.Millisecond, time.Minute, "silence after which a connection with pending calls is replaced"),
		size("message_max", &l.MessageMax, "8MiB", 64*kib, 256*mib, "largest message between nodes; a configuration and the entries beside it are let through in any case (6MiB)"),
	)
}

func quotaKeys(q *Quota) []key {
	return section("quota",
		duration("window", &q.Window, "5s", time.Second, 10*time.Minute, "window over which all nodes together count the requests of an organisation with a rate"),
		fraction("overage", &q.Overage, "0.1", "requests above rate and burst in a window, as a fraction of them"),
		integer("slack", &q.Slack, "20", 0, 100000, "requests above rate and burst in a window beside overage"),
	)
}

func targetKeys(t *Target) []key {
	return section("target",
		duration("announce_lease", &t.AnnounceLease, "5s", 100*time.Millisecond, 10*time.Minute, "time after which an announcement lapses without renewal"),
		duration("drain_window", &t.DrainWindow, "1500ms", 0, 10*time.Minute, "how long a draining target still gets requests that wait for it"),
		integer("connections_max", &t.ConnectionsMax, "32", 1, 10000, "connections to the target"),
		duration("health_interval", &t.HealthInterval, "2s", 100*time.Millisecond, 10*time.Minute, "interval of health checks"),
		text("service", &t.Service, "service of the target; reports that name another one are rejected"),
		address("address", &t.Address, optional, "address of the target; reports that state another one are rejected"),
	)
}

func platformKeys(p *Platform) []key {
	return section("platform",
		address("store", &p.Store, optional, "address of the platform's store, in place of a log service"),
		duration("leave_delay", &p.LeaveDelay, "2200ms", 0, time.Minute, "how long callers may still come after the node said that it is not ready"),
	)
}

func rolloutKeys(r *Rollout) []key {
	return section("rollout",
		fraction("exposure_share", &r.ExposureShare, "0.1", "fraction of the requests of a service since the order that a bad version may get"),
		integer("exposure_slack", &r.ExposureSlack, "50", 0, 100000, "requests that a bad version may get beside exposure_share"),
		boolean("restore", &r.Restore, "reads the records of rollouts at the start, for a platform whose operator orders rollouts"),
		duration("rollback_time", &r.RollbackTime, "5s", time.Second, time.Minute, "time after the 50th bad response after which a bad version gets no request"),
	)
}
