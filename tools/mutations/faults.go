package main

// fault is a deliberate fault: it replaces old, which occurs exactly once in file, with
// new. test is the package and the name of the test that detects it. Faults that need a
// longer chain of events than random sequences produce have a dedicated test.
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
	follower  = "feed/follow.go"
	crashes   = "crashguard/guard.go"
	stops     = "shutdown/shutdown.go"
	durations = "shutdown/durations.go"

	authorityTest     = "proof TestStatefulAuthority"
	configurationTest = "proof TestStatefulConfiguration"
	clusterTest       = "server/node TestStatefulChangesAmongFaults"
)

// knownSeeds maps names of faults to the seed to try first, which is 1 for all others.
var knownSeeds = map[string]int{
	"lease: claim without margin":                       7,
	"lease: quarantine for the last holder only":        26,
	"orders: read without authority or in a quarantine": 2,
	"orders: read under an earlier lease":               16,
}

var faults = []fault{
	{"target: no fence check", engine, "if e.params.ChecksFencing {", "if false {", authorityTest},
	{"lease: claim without waiting", lease, "if now.Before(claimable) {", "if false {", authorityTest},
	{"lease: claim waits half", lease, "claimable := l.lastReadAt.Add(l.settings.Duration + l.settings.Margin)", "claimable := l.lastReadAt.Add(l.settings.Duration / 2)", authorityTest},
	{"lease: claim without margin", lease, "l.settings.Duration + l.settings.Margin", "l.settings.Duration", authorityTest},
	{"lease: any claim is valid", lease, "if r.Previous != o-1 || r.Term != types.FencingNumber(o)+1 {", "if false {", authorityTest},
	{"lease: renewal extends after take-over", lease, "	if l.unclaimed || r.Holder != l.holder || r.Term != l.fence {\n		return\n	}\n	l.lastReadAt = now\n	l.extendIfSelf(r)", "	if r.Holder == l.settings.Self {\n		l.holder, l.fence, l.unclaimed = r.Holder, r.Term, false\n	}\n	l.lastReadAt = now\n	l.extendIfSelf(r)", authorityTest},
	{"lease: renewal counts from its read", lease, "sentAt.Add(l.settings.Duration); end", "l.lastReadAt.Add(l.settings.Duration + 0*sentAt.Sub(sentAt)); end", authorityTest},
	{"lease: renewals unknown after expiry", lease, "if r.Term >= l.fence {", "if false {", authorityTest},
	{"lease: restart claims at once", lease, "	l.unclaimed, l.claimRead = false, false\n", "	l.unclaimed, l.claimRead = true, true\n", authorityTest},
	{"lease: release trusted without its claim", lease, "if !l.claimRead || l.unclaimed || r.Holder", "if l.unclaimed || r.Holder", "authority TestRestartLearnsHolderFromRenewals"},
	{"lease: late renewal restores a release", lease, "	clear(l.pendingSends)\n	if !held {", "	if !held {", authorityTest},
	{"lease: quarantine for the last holder only", lease, "	l.dropExpiredQuarantines(now)\n", "	if l.unclaimed {\n		clear(l.earlierHolders)\n	}\n", authorityTest},
	{"lease: no quarantine after expired records", lease, "	l.earlierHolders[Holder{}] = now\n", "", "authority TestRestartLearnsHolderFromRenewals"},
	{"gate: order after the end of the lease", gate, "|| !now.Before(gr.Until) {", "{", authorityTest},
	{"gate: no quarantine", gate, "if !checksFencing && !quarantineOver {", "if false {", authorityTest},
	{"gate: shorter quarantine", gate, "if now.Before(e.Until) &&", "if now.Before(e.Until.Add(-10e9)) &&", authorityTest},
	{"orders: read without authority or in a quarantine", orders, "t.phase != PhaseIdle || fence == 0", "t.phase != PhaseIdle", authorityTest},
	{"orders: second order while one is under way", orders, "t.phase != PhaseIdle || fence == 0", "fence == 0", authorityTest},
	{"orders: order to a busy target", orders, `if observed.OrderInProgress != "" || desired.Withdrawn {`, "if desired.Withdrawn {", authorityTest},
	{"orders: read under an earlier lease", orders, "if fence == 0 || fence != t.readFence {", "if fence == 0 {", authorityTest},
	{"orders: fence is not raised", orders, "raiseFence := desired.ChecksFencing && observed.HighestFence < fence", "raiseFence := false", authorityTest},
	{"orders: change before the fence is raised", orders, "if !observed.Leaving || raiseFence {", "if !observed.Leaving {", "authority TestNewHolderRaisesFence"},
	{"orders: change of a target with requests", orders, "	if observed.Running > 0 {\n		return nil\n	}\n", "", authorityTest},
	{"orders: change without drain", orders, "	if !observed.Leaving || raiseFence {", "	if (!observed.Leaving && observed.Running > 0) || raiseFence {", authorityTest},
	{"orders: lost result keeps the target", orders, "	t.phase, t.lastStatus = PhaseIdle, out.String()\n", "	if t.lastStatus = out.String(); out != OutcomeUnknown {\n		t.phase = PhaseIdle\n	}\n", authorityTest},
	{"orders: failed target keeps its load slot", orders, "		t.hasLoadSlot = false\n		return nil\n", "		return nil\n", "authority TestLoadsAreLimited"},
	{"fold: gap is skipped", fold, "if o > f.next {", "if false {", configurationTest},
	{"fold: change applied twice", fold, "if _, seen := f.byID[ch.ID]; seen {", "if false {", configurationTest},
	{"fold: base revision is not compared", fold, "} else if current != ch.Base {", "} else if false {", configurationTest},
	{"fold: deletion is forgotten", fold, "	return f.deleted[objectKey{k, id}]", "	return 0", configurationTest},
	{"fold: deletion is forgotten by a snapshot", fold, "	clear(f.deleted)\n	for _, r := range s.Recent[max(0, len(s.Recent)-MaxRecentResults):] {\n		f.addResult(r)\n	}", "	for _, r := range s.Recent {\n		r.Deleted = false\n		f.addResult(r)\n	}", configurationTest},
	{"fold: results are lost by a snapshot", fold, "for _, r := range s.Recent[max(0, len(s.Recent)-MaxRecentResults):] {", "for _, r := range s.Recent[:0] {", configurationTest},
	{"fold: older snapshot is taken", fold, "if s.Next <= f.next || s.Config.Revision < f.config.Revision {", "if false {", configurationTest},
	{"fold: undecodable record blocks", fold, "	f.next = o + 1\n	switch {", "	if r.Change == nil && r.Snapshot == nil {\n		return nil\n	}\n	f.next = o + 1\n	switch {", configurationTest},
	{"configuration log: expired records are skipped", configlog, "	if c.scanning {\n		c.scanRecord(r.Offset, rec)\n		return nil\n	}", "	if c.scanning {\n		c.fold.Load(&configuration.Snapshot{Next: r.Offset, Config: c.fold.Config()})\n		c.scanning = false\n	}", configurationTest},
	{"configuration log: snapshot of the future", configlog, "if rec.Snapshot != nil && rec.Snapshot.Next > r.Offset {", "if false {", configurationTest},
	{"configuration log: age is lost with a peer's snapshot", configlog, "if s.LoggedAt.After(c.loggedAt) {", "if false {", configurationTest},
	{"configuration log: any snapshot resets the age", configlog, "return s != nil && s.Config.Revision >= c.fold.Config().Revision", "return s != nil", "server/control TestLaggingSnapshotDoesNotResetAge"},
	{"targets: refusal of another request", "platform/targets.go", "	if got == \"\" || got == id {", "	if true {", "platform TestLateCopyIsNotTheNextResponse"},
	{"targets: requests to paused targets", "platform/signals.go", "	if t.Admits(time.Now()) {", "	if true {", "platform TestSignals"},
	{"targets: signals of another target", "platform/signals.go", "	if id := h.Peek(headerInstance); len(id) > 0 && string(id) != string(target.ID) {", "	if false {", "platform TestSignals"},
	{"targets: invalid pauses", "platform/signals.go", "if !(s >= 0 && s <= maxPause.Seconds()) {", "if false {", "platform TestParsePause"},
	{"directory: declaration lost with the registration", "directory/directory.go", "		if d.left.contains(t.Lifetime()) {", "		if false {", "server/node TestPauseAndDeclarationLast"},
	{"directory: paused targets are usable", "directory/directory.go", "return !t.Leaving() && t.Load.RequestedPause(now) == 0", "return !t.Leaving()", "server/node TestRequestedPause"},
	{"gateway: bytes count as progress", "gateway/stream.go", "silent > s.progressTimeout() {", "silent < 0 {", "gateway TestSlowAndTricklingStreams"},
	{"gateway: incomplete event ends a stream", "gateway/stream.go", "	if len(rest) > 0 {\n		return fmt", "	if false {\n		return fmt", "gateway TestStreamThatEndsWithinAnEvent"},
	{"front: listener closed at once", "platform/front.go", "	if !ok || d.SetDeadline(time.Now().Add(wait)) != nil {", "	if !ok || d != nil {", "platform TestStopServesRequestsThatHaveArrived"},
	{"hubs: silent hub is kept", "loadshare/peers.go", "if now.Sub(latest(since, s.heard[h])) <= hubTimeout {", "if now.Sub(latest(since, s.heard[h])) <= 1000*hubTimeout {", "loadshare TestExchangeSurvivesHubFailureAndLoss"},
	{"hubs: silent hub is tried again", "loadshare/peers.go", "if now.Sub(since) < hubSuspicion || !s.heard[h].After(since) {", "if now.Sub(since) < hubSuspicion {", "loadshare TestExchangeSurvivesHubFailureAndLoss"},
	{"relay: no pause after a flush", "loadshare/relay.go", "		timer.Reset(pause)\n", "		timer.Reset(0 * pause)\n", "loadshare TestExchangeIsBounded"},
	{"exchange: lost ends of work", share, "	if m.full {\n		p.endUnlisted(m.loads)\n	}\n", "", "loadshare TestLostAndLateMessages"},
	{"roles: share does not follow", "planning/balance.go", "		b.share = wanted - math.Copysign(tolerated/2, deviation)\n", "", "planning TestShareFollowsDemand"},
	{"roles: no tolerance", "planning/balance.go", "math.Abs(deviation) > tolerated {", "math.Abs(deviation) > 0*tolerated {", "planning TestShareIsCalm"},
	{"claims: no base", progress, "if c.base > upTo {", "if false {", clusterTest},
	{"claims: base without lists", progress, "p.base = max(p.base, r.Next)", "p.base = max(p.base, r.Next-r.Next)", clusterTest},
	{"claims: base without told changes", progress, "max(p.next, next), max(p.base, next)", "max(p.next, next), p.base", clusterTest},
	{"claims: base without untold changes", progress, "p.base = max(p.base, r.Changed)", "p.base = max(p.base, 0)", "loadshare TestUntoldChangesAreNotKnown"},
	{"claims: kept after news that was missed", progress, "p.next, p.queuedUpTo, p.claimedUpTo, p.hasPeerRead = next, next, 0, false", "p.next, p.queuedUpTo = next, next", "loadshare TestMissedNewsTakesBackClaims"},
	{"claims: messages that were held up are fresh", share, "at.Add(-c.age-delay)", "at.Add(-c.age-0*delay)", "server/node TestClaimsOfFrozenReadersAreNotFresh"},
	{"claims: read with changes is true as of its end", follower, "r := ReadResult{AsOf: began, Next: c.Next}", "r := ReadResult{AsOf: began.Add(wait), Next: c.Next}", "feed TestReadAgeIncludesDelays"},
	{"crashes: part is never blocked", "gateway/crashes.go", "if blocked := s.g.settings.Crashes.Blocked(s.r.Prompt.Parts); blocked > 0 {", "if blocked := s.g.settings.Crashes.Blocked(nil); blocked > 0 {", "server/node TestPartThatCrashesEnginesIsRefused"},
	{"crashes: not checked after the prefill", "gateway/stream.go", "	if err := s.checkCrashes(); err != nil {\n		return err\n	}\n	return s.decode()", "	return s.decode()", "gateway TestBlockedPromptReachesNoEngine"},
	{"crashes: events of other engines count", "gateway/crashes.go", "RecordBroken(t, s.r.Prompt.Parts, s.runEvents)", "RecordBroken(t, s.r.Prompt.Parts, s.events)", "gateway TestEventsOfABrokenResponseAreThoseOfItsEngine"},
	{"crashes: events of one read count as one", "gateway/stream.go", "s.runEvents += countEvents(events)", "s.runEvents++", "gateway TestBrokenResponsesAreReported"},
	{"gateway: resumed stream without an event is complete", "gateway/stream.go", "		return !resp.EndMarked()\n", "		return false\n", "gateway TestResumedStreamThatEndsWithoutAnEvent"},
	{"crashes: unmarked ends are answers", "gateway/crashes.go", "case resp.EndMarked():", "case resp.EndMarked() || t != nil:", "server/node TestPartThatEndsUnmarkedResponsesIsRefused"},
	{"crashes: unmarked ends prove nothing", "server/node/crashes.go", "			d.guard.RecordAnswer(parts, at)\n", "", "server/node TestUnmarkedEndIsAnAnswerOfAReachableTarget"},
	{"crashes: broken error responses prove nothing", "gateway/stream.go", "	body, err := s.readResponse(resp)\n	if err != nil {\n		s.recordRunFailure(t, err)\n", "	body, err := s.readResponse(resp)\n	if err != nil {\n", "gateway TestBrokenResponsesAreReported"},
	{"crashes: suspects do not wait for the check", "server/node/reachability.go", "		for _, record := range waiters {", "		for _, record := range waiters[:1] {", "server/node TestAllSuspectsOfACrashAreRecorded"},
	{"crashes: begun responses are no suspects", crashes, "return events <= maxSuspectEvents", "return events == 0", "server/node TestPartThatCrashesEnginesAfterEventsIsRefused"},
	{"crashes: all responses are suspects", crashes, "return events <= maxSuspectEvents", "return events >= 0", "crashguard TestEnginesThatEndTogetherBlockNoPart"},
	{"crashes: broken connection counts", "server/node/crashes.go", "d.guard.KnownCrash(t.Lifetime()) || !d.reachable(t)", "d.guard.KnownCrash(t.Lifetime()) || d.reachable(t)", "server/node TestBrokenConnectionIsNoCrash"},
	{"crashes: answers prove nothing", crashes, "return answer != 0 && answer >= crash.Add(-answerMargin)", "return answer > 1<<62 && crash > 0", "crashguard TestSoundPartIsNotBlocked"},
	{"crashes: explained crashes count", crashes, "|| g.explained(c) {", "{", "crashguard TestPartBesideABlockedOneIsNotBlocked"},
	{"crashes: shared part is blocked", crashes, "last < best || last == best && p < part", "last > best || last == best && p > part", "crashguard TestSharedPartIsNotBlockedDuringOutage"},
	{"crashes: answer does not lift a block", crashes, "if g.lastAnswer(p) > b.lastCrash {", "if g.lastAnswer(p) > b.lastCrash+1<<62 {", "crashguard TestAnswerLiftsBlock"},
	{"crashes: block is extended by exchange", "crashguard/update.go", "old != nil && old.count >= b.Count", "old != nil && old.count > b.Count", "crashguard TestBlockEndsAndReturnsAfterOneCrash"},
	{"crashes: blocks are not repeated", "crashguard/update.go", "	if full {\n		u.Blocks", "	if false {\n		u.Blocks", "crashguard TestNewDaemonLearnsBlocks"},
	{"crashes: evidence is not exchanged", share, "	e.crashes.Apply(&m.crashes, at)\n", "", "loadshare TestCrashEvidenceReachesOthers"},
	{"crashes: reports are not repeated", "crashguard/update.go", "r := &o.reports[i]; full || r.published == 0", "r := &o.reports[i]; r.published == 0", "loadshare TestCrashEvidenceReachesOthers"},
	{"gateway: stream without an event is complete", "gateway/stream.go", "p.MaxOutputTokens > 0 && s.runEvents == 0", "p.MaxOutputTokens > 0 && s.runEvents < 0", "gateway TestStreamThatEndsWithoutAnEvent"},
	{"crashes: blocks are not restored", "server/node/blocks.go", "		d.guard.Restore(i.Value.part, i.Value.Blocks, clock.Now())\n", "		_ = clock.Now\n", "server/node TestBlockOutlivesRestartOfAllNodes"},
	{"crashes: records of ended blocks remain", "server/node/crashes.go", "if _, ok := d.recorded[p]; ok {", "if _, ok := d.recorded[p]; ok && false {", "server/node TestBlockOutlivesRestartOfAllNodes"},
	{"versions: plan in force at once", "versions/propose.go", "now.Sub(s.learned) <= t.settings.Propagation", "now.Sub(s.learned) < 0", "versions TestStreamsResolveToTheirVersionOrNotAtAll"},
	{"versions: next plan is not resolved", "versions/table.go", "	if s.record.Next != nil {\n		agrees", "	if false {\n		agrees", "versions TestStreamsResolveToTheirVersionOrNotAtAll"},
	{"versions: no propagation time", "versions/table.go", "Add(-t.settings.Propagation - maxAge)", "Add(-maxAge)", "versions TestStreamsResolveToTheirVersionOrNotAtAll"},
	{"versions: earlier plans are not learned", "versions/table.go", "range r.Previous {", "range r.Previous[:0] {", "versions TestRestartedNodeKnowsEarlierPlans"},
	{"versions: first plan counts for earlier streams", "versions/propose.go", "if len(s.unplanned) > 1 {", "if false {", "versions TestStreamsResolveToTheirVersionOrNotAtAll"},
	{"versions: second version begins streams without a plan", "versions/table.go", "case s.record == nil && len(s.unplanned) > 1:", "case s.record == nil && len(s.unplanned) < 0:", "versions TestReplacedVersionBeforeTheFirstRecord"},
	{"versions: outdated plan is resolved", "versions/table.go", "|| t.several(s) && t.outdated() {", "|| t.several(s) && false {", "versions TestOutdatedPlanIsNotUsed"},
	{"versions: lost record is not restored", "versions/table.go", "s.unsaved = true", "s.unsaved = false", "versions TestRecordLostByTheStoreIsRestored"},
	{"versions: no hysteresis", "versions/propose.go", "maxOverload = 1.25", "maxOverload = 1.01", "versions TestPlansChangeRarely"},
	{"versions: unconditional write", "platform/store.go", "	q.Set(\"At\", ", "	q.Set(\"Unused\", ", "platform TestStore"},
	{"versions: lapsed registrations change the plan", "server/node/versions.go", "missingHold  = 3 * time.Second", "missingHold  = time.Second", "server/node TestTwoWritersOfVersionPlans"},
	{"versions: invalid weights are decoded", "server/node/versionrecords.go", "n <= 0 || n > maxShare", "n < -1<<30", "server/node TestVersionRecords"},
	{"claims: shorter source is not noticed", progress, "c.age < neverRead && p.endsEarlier(c, asOf)", "c.age < 0 && p.endsEarlier(c, asOf)", "loadshare TestChangesAfterTheTopicHasBecomeShorter"},
	{"claims: offsets of a shorter source remain", progress, "if r.Listed && r.Next < p.next {", "if r.Listed && r.Next < 0 {", "loadshare TestChangesAfterTheTopicHasBecomeShorter"},
	{"mirror: bases of a shorter source remain", "mirror/mirror.go", "	if next < f.next {", "	if next < 0 {", "mirror TestBasesEndWithTheirOffsets"},
	{"store: era is ignored", "platform/store.go", "now > listed {", "now < listed {", "platform TestStoreThatReturnedIsListedAgain"},
	{"limits: header is ignored", "platform/signals.go", "	t.readLimit(target, string(h.Peek(headerLimit)))\n", "", "server/node TestNodesShareTheLimitOfATarget"},
	{"limits: requests are not charged", "ratelimit/limiter.go", "return time.Duration(max(next-tolerance(interval)-now, 0))", "l.next.Store(0)\n			return time.Duration(max(next-tolerance(interval)-now, 0))", "gateway TestPlainRequestsKeepToLimits"},
	{"limits: requests of peers do not count", "loadshare/peerstate.go", "load.Limit.Charge(p.newlySent(load, reported), ", "load.Limit.Charge(0*p.newlySent(load, reported), ", "loadshare TestRequestsOfPeersAreCharged"},
	{"limits: all daemons use the whole limit", "ratelimit/limiter.go", "if interval == 0 || requests <= 0 {", "if interval >= 0 || requests <= 0 {", "ratelimit TestFleetSharesOneLimit"},
	{"limits: unbounded debt", "ratelimit/limiter.go", "min(max(next, now)+requests*interval, now+int64(maxDebt))", "max(next, now)+requests*interval", "ratelimit TestChargesAreBounded"},
	{"limits: older statement counts", "ratelimit/limiter.go", "if old > at {", "if old < 0 {", "ratelimit TestLimitEnds"},
	{"limits: limit of an earlier lifetime", "loadshare/limits.go", "t != nil && t.Lifetime() == l.target {", "t != nil {", "loadshare TestLimitsAreExchanged"},
	{"limits: limits are not repeated", share, "		o.repeatLimits(e.directory.Load())\n", "", "loadshare TestLimitsAreExchanged"},
	{"limits: decode is not reserved", "gateway/stream.go", "if d != nil && d.Load.Limit.Limited() {", "if false {", "gateway TestDecodeIsReservedBeforeThePrefill"},
	{"limits: targets cost nothing more", "placement/placement.go", "		c.Cost += c.RateDelay\n", "", "gateway TestTargetsWithoutLimitTakeOver"},
	{"limits: no bound of the wait", "gateway/pacing.go", "delay > max(x.maxPacing(t), 0) {", "delay > 1<<62 {", "gateway TestPlainRequestsKeepToLimits"},
	{"crashes: answered parts need no more crashes", crashes, "	minCrashesAnswered = 5\n", "	minCrashesAnswered = 3\n", "crashguard TestLossOfSeveralEnginesBlocksNoKnownPart"},
	{"stops: everything begins", stops, "	return !now.After(x.AcceptUntil) && r", "	return true || r", "gateway TestRequestsThatOutlastTheProcessReachNoTarget"},
	{"stops: deadlines do not count", stops, "	case !deadline.After(x.End):\n		return true\n", "", "shutdown TestStoppingProcessBeginsWhatItCanEnd"},
	{"stops: estimate counts to the end", stops, "!now.After(x.AcceptUntil) && ", "", "shutdown TestStoppingProcessBeginsWhatItCanEnd"},
	{"stops: second stop extends the first", stops, "return s.schedule.CompareAndSwap(nil, &x)", "return s.schedule.Swap(&x) == nil", "shutdown TestStoppingProcessBeginsWhatItCanEnd"},
	{"stops: responses in progress do not count", durations, "		p.route.passed[p.interval].Add(1)\n", "", "shutdown TestEstimateHasResponsesInProgress"},
	{"stops: events do not extend the estimate", "gateway/stream.go", "				s.progress.Extend(at.Sub(s.r.Arrived))\n", "", "gateway TestResponsesInProgressCountForTheEstimate"},
	{"stops: samples count for ever", durations, "== maxSamples {", "== -maxSamples {", "shutdown TestEstimateFollowsChanges"},
	{"stops: retries begin", "gateway/exchange.go", " || !x.started && !x.mayBegin()", "", "gateway TestNoRetryThatOutlastsTheProcess"},
	{"stops: no outcome at the end", "platform/front.go", "		c.cancelRequest(gateway.ErrStopping)\n", "", "platform TestStopAnswersRequestsInProgressAtItsEnd"},
	{"stops: end counts as a caller that left", "gateway/exchange.go", "errors.Is(context.Cause(x.callerCtx), ErrStopping)", "errors.Is(context.Cause(x.callerCtx), ErrPaused)", "gateway TestRequestsInProgressEndWithTheStop"},
	{"stops: requests that have not arrived get no response", "platform/front.go", "		c.endRead()\n", "", "platform TestStopRefusesRequestsThatHaveNotArrived"},
}
