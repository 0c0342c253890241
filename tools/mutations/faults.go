package main

// fault is a deliberate fault: old, which occurs once in file, becomes new.
// test is the package and the name of the test that finds it. Faults that need
// a longer chain of events than random sequences reach have a test of their own.
type fault struct{ name, file, old, new, test string }

const (
	lease     = "authority/lease.go"
	gate      = "authority/gate.go"
	orders    = "authority/orders.go"
	engine    = "standin/modelengine/order.go"
	fold      = "configuration/fold.go"
	configlog = "server/control/configlog.go"
	progress  = "loadshare/progress.go"
	share     = "loadshare/share.go"
	follower  = "feed/feed.go"

	authorityTest     = "proof TestStatefulAuthority"
	configurationTest = "proof TestStatefulConfiguration"
	clusterTest       = "server/node TestStatefulChangesAmongFaults"
)

// knownSeeds are tried first; without an entry it is seed 1.
var knownSeeds = map[string]int{
	"lease: claim without margin":                       7,
	"lease: quarantine for the last holder only":        26,
	"orders: read without authority or in a quarantine": 2,
	"orders: read under an earlier lease":               16,
}

var faults = []fault{
	{"target: no fence check", engine, "if e.params.ChecksFencing {", "if false {", authorityTest},
	{"lease: claim without waiting", lease, "if now.Before(claimable) {", "if false {", authorityTest},
	{"lease: claim waits half", lease, "claimable := l.readAt.Add(l.settings.Duration + l.settings.Margin)", "claimable := l.readAt.Add(l.settings.Duration / 2)", authorityTest},
	{"lease: claim without margin", lease, "l.settings.Duration + l.settings.Margin", "l.settings.Duration", authorityTest},
	{"lease: any claim is valid", lease, "if r.Previous != o-1 || r.Term != types.FencingNumber(o)+1 {", "if false {", authorityTest},
	{"lease: renewal extends after take-over", lease, "	if l.free || r.Holder != l.holder || r.Term != l.fence {\n		return\n	}\n	l.readAt = now\n	l.extendOwn(r)", "	if r.Holder == l.settings.Self {\n		l.holder, l.fence, l.free = r.Holder, r.Term, false\n	}\n	l.readAt = now\n	l.extendOwn(r)", authorityTest},
	{"lease: renewal counts from its read", lease, "sentAt.Add(l.settings.Duration); end", "l.readAt.Add(l.settings.Duration + 0*sentAt.Sub(sentAt)); end", authorityTest},
	{"lease: renewals unknown after expiry", lease, "if r.Term >= l.fence {", "if false {", authorityTest},
	{"lease: restart claims at once", lease, "	l.free, l.claimSeen = false, false\n", "	l.free, l.claimSeen = true, true\n", authorityTest},
	{"lease: release trusted without its claim", lease, "if !l.claimSeen || l.free || r.Holder", "if l.free || r.Holder", "authority TestRestartLearnsHolderFromRenewals"},
	{"lease: late renewal restores a release", lease, "	clear(l.sent)\n	if !held {", "	if !held {", authorityTest},
	{"lease: quarantine for the last holder only", lease, "	l.dropEarlier(now)\n", "	if l.free {\n		clear(l.earlier)\n	}\n", authorityTest},
	{"lease: no quarantine after expired records", lease, "	l.earlier[Holder{}] = now\n", "", "authority TestRestartLearnsHolderFromRenewals"},
	{"gate: order after the end of the lease", gate, "|| !now.Before(gr.Until) {", "{", authorityTest},
	{"gate: no quarantine", gate, "if !checksFencing && !cleared {", "if false {", authorityTest},
	{"gate: shorter quarantine", gate, "if now.Before(e.Until) &&", "if now.Before(e.Until.Add(-10e9)) &&", authorityTest},
	{"orders: read without authority or in a quarantine", orders, "t.phase != PhaseIdle || fence == 0", "t.phase != PhaseIdle", authorityTest},
	{"orders: second order while one is under way", orders, "t.phase != PhaseIdle || fence == 0", "fence == 0", authorityTest},
	{"orders: order to a busy target", orders, `if s.OrderInProgress != "" || w.Withdrawn {`, "if w.Withdrawn {", authorityTest},
	{"orders: read under an earlier lease", orders, "if fence == 0 || fence != t.fence {", "if fence == 0 {", authorityTest},
	{"orders: fence is not raised", orders, "raise := w.ChecksFencing && s.HighestFence < fence", "raise := false", authorityTest},
	{"orders: change before the fence is raised", orders, "if !s.Leaving || raise {", "if !s.Leaving {", "authority TestNewHolderRaisesFence"},
	{"orders: change of a target with requests", orders, "	if s.Running > 0 {\n		return nil\n	}\n", "", authorityTest},
	{"orders: change without drain", orders, "	if !s.Leaving || raise {", "	if (!s.Leaving && s.Running > 0) || raise {", authorityTest},
	{"orders: lost result keeps the target", orders, "	t.phase, t.last = PhaseIdle, out.String()\n", "	if t.last = out.String(); out != OutcomeUnknown {\n		t.phase = PhaseIdle\n	}\n", authorityTest},
	{"orders: failed target keeps its load slot", orders, "		t.slot = false\n		return nil\n", "		return nil\n", "authority TestLoadsAreLimited"},
	{"fold: gap is skipped", fold, "if o > f.next {", "if false {", configurationTest},
	{"fold: change applied twice", fold, "if _, seen := f.byID[ch.ID]; seen {", "if false {", configurationTest},
	{"fold: base revision is not compared", fold, "} else if current != ch.Base {", "} else if false {", configurationTest},
	{"fold: deletion is forgotten", fold, "	return f.deleted[object{k, id}]", "	return 0", configurationTest},
	{"fold: deletion is forgotten by a snapshot", fold, "	clear(f.deleted)\n	for _, r := range s.Recent[max(0, len(s.Recent)-MaxRecent):] {\n		f.remember(r)\n	}", "	for _, r := range s.Recent {\n		r.Deleted = false\n		f.remember(r)\n	}", configurationTest},
	{"fold: results are lost by a snapshot", fold, "for _, r := range s.Recent[max(0, len(s.Recent)-MaxRecent):] {", "for _, r := range s.Recent[:0] {", configurationTest},
	{"fold: older snapshot is taken", fold, "if s.Next <= f.next || s.Config.Revision < f.config.Revision {", "if false {", configurationTest},
	{"fold: undecodable record blocks", fold, "	f.next = o + 1\n	switch {", "	if r.Change == nil && r.Snapshot == nil {\n		return nil\n	}\n	f.next = o + 1\n	switch {", configurationTest},
	{"configuration log: expired records are skipped", configlog, "	if c.scanning {\n		c.scanRecord(r.Offset, rec)\n		return nil\n	}", "	if c.scanning {\n		c.fold.Load(&configuration.Snapshot{Next: r.Offset, Config: c.fold.Config()})\n		c.scanning = false\n	}", configurationTest},
	{"configuration log: snapshot of the future", configlog, "if rec.Snapshot != nil && rec.Snapshot.Next > r.Offset {", "if false {", configurationTest},
	{"configuration log: age is lost with a peer's snapshot", configlog, "if s.LoggedAt.After(c.loggedAt) {", "if false {", configurationTest},
	{"configuration log: any snapshot resets the age", configlog, "return s != nil && s.Config.Revision >= c.fold.Config().Revision", "return s != nil", "server/control TestLaggingSnapshotDoesNotResetAge"},
	{"claims: no base", progress, "if c.base > known {", "if false {", clusterTest},
	{"claims: base without lists", progress, "p.base = max(p.base, r.Next)", "p.base = max(p.base, r.Next-r.Next)", clusterTest},
	{"claims: base without told changes", progress, "max(p.next, next), max(p.base, next)", "max(p.next, next), p.base", clusterTest},
	{"claims: base without untold changes", progress, "p.base = max(p.base, r.Changed)", "p.base = max(p.base, 0)", "loadshare TestUntoldChangesAreNotKnown"},
	{"claims: kept after news that was missed", progress, "p.next, p.queued, p.through, p.hasPeerRead = next, next, 0, false", "p.next, p.queued = next, next", "loadshare TestMissedNewsTakesBackClaims"},
	{"claims: messages that were held up are fresh", share, "at.Add(-c.age-late)", "at.Add(-c.age-0*late)", "server/node TestClaimsOfFrozenReadersAreNotFresh"},
	{"claims: read with changes is true as of its end", follower, "if next == f.next && f.s.Now().Sub(began) >= wait {", "if true {", clusterTest},
}
