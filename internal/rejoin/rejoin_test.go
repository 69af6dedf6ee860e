package rejoin

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func newClaim(id, directoryID string, openCount, term, lastIndex uint64) Claim {
	return Claim{ID: id, Addr: "at-" + id, DirectoryState: DirectoryState{DirectoryID: directoryID, OpenCount: openCount,
		ProcessID: fmt.Sprint(directoryID, "/", openCount), Term: term, LastIndex: lastIndex}}
}

var threeVoters = View{Bootstrapped: true, LastIndex: 50, ClusterName: "set",
	Members: map[string]Member{"a": {"at-a", true}, "b": {"at-b", true}, "c": {"at-c", true}}}

func TestVerifierContradictsClaims(t *testing.T) {
	before := newClaim("c", "f", 3, 7, 40)
	changed := func(do func(*Claim)) Claim {
		c := newClaim("c", "f", 4, 7, 40)
		do(&c)
		return c
	}
	for name, tc := range map[string]struct {
		c    Claim
		want Verdict
	}{
		"plain restart":                           {changed(func(*Claim) {}), VerdictAccepted},
		"later term, log tail truncated":          {changed(func(c *Claim) { c.Term, c.LastIndex = 8, 38 }), VerdictAccepted},
		"one entry missing":                       {changed(func(c *Claim) { c.LastIndex = 39 }), VerdictOutdated},
		"earlier term":                            {changed(func(c *Claim) { c.Term, c.LastIndex = 6, 45 }), VerdictOutdated},
		"open count repeated":                     {changed(func(c *Claim) { c.OpenCount, c.ProcessID = 3, "another" }), VerdictOutdated},
		"empty directory":                         {changed(func(c *Claim) { *c = newClaim("c", "g", 1, 0, 0); c.Fresh = true }), VerdictOtherDirectory},
		"directory of another replica":            {changed(func(c *Claim) { c.DirectoryID = "g" }), VerdictOtherDirectory},
		"rejoined through the leader":             {changed(func(c *Claim) { c.DirectoryID, c.JoinIndex = "g", 30 }), VerdictAccepted},
		"another address":                         {changed(func(c *Claim) { c.Addr = "at-x" }), VerdictOtherAddress},
		"directory of another cluster":            {changed(func(c *Claim) { c.ClusterName = "another" }), VerdictOtherCluster},
		"directory of this cluster":               {changed(func(c *Claim) { c.ClusterName = "set" }), VerdictAccepted},
		"id that is not a member":                 {newClaim("x", "f", 1, 7, 40), VerdictNotMember},
		"same process, log tail truncated":        {func() Claim { c := before; c.LastIndex = 30; return c }(), VerdictAccepted},
		"same process, emptied disk":              {func() Claim { c := before; c.DirectoryID = "g"; return c }(), VerdictOtherDirectory},
		"valid directory that requests to rejoin": {changed(func(c *Claim) { c.RejoinReason = "damaged" }), VerdictAccepted},
	} {
		verifier := NewVerifier("a", nil)
		if response, persist := verifier.HandleClaim(0, 1, before, threeVoters); response.Verdict != VerdictAccepted || !persist {
			t.Fatalf("first claim: %+v, persist %v", response, persist)
		}
		verifier.ConnectionClosed("c", 1)
		if response, _ := verifier.HandleClaim(10, 2, tc.c, threeVoters); response.Verdict != tc.want {
			t.Errorf("%s: %+v, want %s", name, response, tc.want)
		}
	}
}

// A remembered directory state that contradicts a claim is not overwritten by that claim, since the claim may be repeated.
func TestRejectedClaimsAreNotRemembered(t *testing.T) {
	verifier := NewVerifier("a", map[string]DirectoryState{"c": newClaim("c", "f", 3, 7, 40).DirectoryState})
	old := newClaim("c", "f", 3, 6, 20)
	old.ProcessID = "old"
	for range 3 {
		if response, persist := verifier.HandleClaim(0, 1, old, threeVoters); response.Verdict != VerdictOutdated || persist {
			t.Errorf("%+v %v", response, persist)
		}
	}
	if verifier.Directories["c"].LastIndex != 40 {
		t.Errorf("%+v", verifier.Directories["c"])
	}
	unconfigured := View{}
	if response, _ := verifier.HandleClaim(0, 1, old, unconfigured); response.Verdict != VerdictOutdated {
		t.Errorf("verifier without a configuration: %+v", response)
	}
}

func TestOnlyOneProcessPerIDIsAccepted(t *testing.T) {
	verifier := NewVerifier("a", nil)
	first, second := newClaim("c", "f", 1, 1, 5), newClaim("c", "g", 1, 1, 5)
	verifier.HandleClaim(0, 1, first, threeVoters)
	if response, _ := verifier.HandleClaim(AliveTimeoutMS-1, 2, second, threeVoters); response.Verdict != VerdictDuplicateProcess {
		t.Errorf("second process while the first is alive: %+v", response)
	}
	verifier.ConnectionClosed("c", 2)
	if response, _ := verifier.HandleClaim(AliveTimeoutMS-1, 3, second, threeVoters); response.Verdict != VerdictDuplicateProcess {
		t.Errorf("second process after its own connection ended: %+v", response)
	}
	if response, _ := verifier.HandleClaim(AliveTimeoutMS, 3, second, threeVoters); response.Verdict != VerdictOtherDirectory {
		t.Errorf("second process after the first has timed out: %+v", response)
	}
	if response, _ := verifier.HandleClaim(AliveTimeoutMS+1, 1, first, threeVoters); response.Verdict != VerdictProcessReplaced {
		t.Errorf("first process, resumed: %+v", response)
	}
	verifier.ConnectionClosed("c", 3)
	if response, _ := verifier.HandleClaim(AliveTimeoutMS+2, 1, first, threeVoters); response.Verdict != VerdictAccepted {
		t.Errorf("first process after the second has ended: %+v", response)
	}
}

// Each combination of claim and responses leads to one decision.
func TestJoinerDecidesByResponses(t *testing.T) {
	accepts := func(from string) Response {
		return Response{From: from, Verdict: VerdictAccepted, Bootstrapped: true, LastIndex: 50}
	}
	rejects := func(from string, v Verdict) Response {
		return Response{From: from, Verdict: v, Reason: "the reason", Bootstrapped: true, LastIndex: 50}
	}
	unbootstrapped := func(from string) Response { return Response{From: from, Verdict: VerdictAccepted} }
	restarted, empty := newClaim("c", "f", 4, 7, 40), Claim{ID: "c", Fresh: true}
	rejoined := newClaim("c", "g", 1, 0, 0)
	rejoined.JoinIndex, rejoined.Fresh = 45, true
	named := restarted
	named.ClusterName = "set"
	rejoining := restarted
	rejoining.RejoinReason = "older"
	for name, tc := range map[string]struct {
		c         Claim
		strict    bool
		responses []Response
		want      Decision
	}{
		"no responses":                                {restarted, false, nil, DecisionWait},
		"one of two accepts":                          {restarted, false, []Response{accepts("a")}, DecisionStart},
		"state differs":                               {restarted, false, []Response{accepts("a"), rejects("b", VerdictStateDiverged)}, DecisionRequestRejoin},
		"one of two accepts, strict":                  {restarted, true, []Response{accepts("a")}, DecisionWait},
		"both accept, strict":                         {restarted, true, []Response{accepts("a"), accepts("b")}, DecisionStart},
		"one contradicts":                             {restarted, false, []Response{accepts("a"), rejects("b", VerdictOutdated)}, DecisionRequestRejoin},
		"accepted by a replica that is no peer":       {restarted, false, []Response{accepts("x")}, DecisionWait},
		"another process is alive":                    {restarted, false, []Response{accepts("a"), rejects("b", VerdictDuplicateProcess)}, DecisionWait},
		"replaced by another process":                 {restarted, false, []Response{accepts("a"), rejects("b", VerdictProcessReplaced)}, DecisionStop},
		"directory of another cluster":                {restarted, false, []Response{rejects("a", VerdictOtherCluster), rejects("b", VerdictOtherCluster)}, DecisionWait},
		"accepted by peers without a cluster":         {named, false, []Response{unbootstrapped("a"), unbootstrapped("b")}, DecisionWait},
		"rejoined, other address at one peer":         {rejoining, false, []Response{rejects("a", VerdictOtherAddress), {From: "b", Verdict: VerdictOtherDirectory, Bootstrapped: true, JoinIndex: 45}}, DecisionResetDirectory},
		"one peer is of another cluster":              {restarted, false, []Response{accepts("a"), rejects("b", VerdictOtherCluster)}, DecisionStart},
		"removed":                                     {restarted, false, []Response{accepts("a"), rejects("b", VerdictNotMember)}, DecisionWait},
		"empty, one peer empty":                       {empty, false, []Response{unbootstrapped("a")}, DecisionWait},
		"all empty":                                   {empty, false, []Response{unbootstrapped("a"), unbootstrapped("b")}, DecisionBootstrap},
		"empty, cluster bootstrapped":                 {empty, false, []Response{unbootstrapped("a"), accepts("b")}, DecisionRequestRejoin},
		"empty, cluster bootstrapped with it":         {empty, false, []Response{unbootstrapped("a"), {From: "b", Verdict: VerdictAccepted, Bootstrapped: true, KnowsDirectory: true}}, DecisionBootstrap},
		"rejoin requested":                            {rejoining, false, []Response{accepts("a"), rejects("b", VerdictOutdated)}, DecisionWait},
		"rejoin requested and granted":                {rejoining, false, []Response{{From: "a", Verdict: VerdictAccepted, Bootstrapped: true, JoinIndex: 45}}, DecisionResetDirectory},
		"rejoined, not known to one peer yet":         {rejoined, false, []Response{accepts("a"), {From: "b", Verdict: VerdictOtherDirectory, Bootstrapped: true, LastIndex: 44}}, DecisionStart},
		"rejoined, contradicted by a peer that knows": {rejoined, false, []Response{accepts("a"), rejects("b", VerdictOtherDirectory)}, DecisionRequestRejoin},
	} {
		joiner := Joiner{Claim: tc.c, Peers: []string{"a", "b"}, Strict: tc.strict, WaitElapsed: true}
		for _, response := range tc.responses {
			joiner.AddResponse(response)
		}
		if d, why := joiner.Decide(); d != tc.want || why == "" {
			t.Errorf("%s: %s (%s), want %s", name, d, why, tc.want)
		}
	}
	early := Joiner{Claim: restarted, Peers: []string{"a", "b"}}
	early.AddResponse(accepts("a"))
	if d, _ := early.Decide(); d != DecisionWait {
		t.Errorf("one of two peers accepts before the wait has elapsed: %s", d)
	}
	early.AddResponse(accepts("b"))
	if d, _ := early.Decide(); d != DecisionStart {
		t.Errorf("all peers accept before the wait has elapsed: %s", d)
	}
	for n, want := range map[int][2]int{0: {0, 0}, 2: {1, 2}, 4: {2, 3}, 6: {3, 4}} {
		joiner := Joiner{Peers: make([]string, n)}
		plain := joiner.RequiredResponses()
		joiner.Strict = true
		if strict := joiner.RequiredResponses(); plain != want[0] || strict != want[1] {
			t.Errorf("%d peers: %d required, %d if strict, want %v", n, plain, strict, want)
		}
	}
}

// clusterModel models a cluster whose data directories are written, backed up, restored and emptied. The invariant checked: a
// replica that starts as a voter has all entries that it ever had as a voter.
type clusterModel struct {
	size             int
	directories      []Claim          // the present data directory of each replica
	backups          []*Claim         // its backup; nil: none
	latestAsVoter    []DirectoryState // the latest state that each replica had as a voter
	running          []bool           // the process runs and takes part in the cluster
	verifiers        []*Verifier
	voters           []bool
	processCount     int
	lastIndex        uint64
	nowMS            float64
	injectedBug      string
	rejectedRestarts int // plain restarts that were rejected although all peers responded
}

func newClusterModel(n int, injectedBug string) *clusterModel {
	m := &clusterModel{size: n, directories: make([]Claim, n), backups: make([]*Claim, n), latestAsVoter: make([]DirectoryState, n),
		running: make([]bool, n), verifiers: make([]*Verifier, n),
		voters: make([]bool, n), lastIndex: 10, injectedBug: injectedBug}
	for i := range n {
		m.verifiers[i] = NewVerifier(replicaID(i), nil)
		m.voters[i], m.running[i] = true, true
		m.directories[i] = Claim{ID: replicaID(i), Addr: "at-" + replicaID(i),
			DirectoryState: DirectoryState{DirectoryID: fmt.Sprint("f", i), OpenCount: 1, ProcessID: fmt.Sprint("p", i), Term: 1, LastIndex: 10}}
		m.latestAsVoter[i] = m.directories[i].DirectoryState
	}
	for i := range n {
		m.sendClaims(i)
	}
	return m
}

func replicaID(i int) string { return string(rune('a' + i)) }

func (m *clusterModel) view(i int) View {
	v := View{Bootstrapped: true, LastIndex: m.directories[i].LastIndex, Members: map[string]Member{}}
	for k := range m.size {
		v.Members[replicaID(k)] = Member{"at-" + replicaID(k), m.voters[k]}
	}
	return v
}

// sendClaims sends the claim of a replica to all running ones and returns their responses.
func (m *clusterModel) sendClaims(i int) (responses []Response) {
	for k := range m.size {
		if k != i && m.running[k] {
			response, _ := m.verifiers[k].HandleClaim(m.nowMS, uint64(i), m.directories[i], m.view(k))
			responses = append(responses, response)
		}
	}
	return responses
}

// execute executes one step and reports whether it was applicable.
func (m *clusterModel) execute(kind string, i int) bool {
	m.nowMS += 100
	d := &m.directories[i]
	switch {
	case (kind == "kill" || kind == "promote") && !m.running[i], (kind == "old" || kind == "empty" || kind == "start") && m.running[i],
		kind == "old" && m.backups[i] == nil, kind == "keep" && m.backups[i] != nil && *m.backups[i] == *d,
		kind == "promote" && (m.voters[i] || d.LastIndex != m.lastIndex):
		return false
	}
	switch kind {
	case "write": // all running replicas append an entry and send claims
		m.lastIndex++
		for k := range m.size {
			if m.running[k] {
				m.directories[k].LastIndex, m.directories[k].Fresh = m.lastIndex, false
				if m.voters[k] {
					m.latestAsVoter[k] = m.directories[k].DirectoryState
				}
			}
		}
		for k := range m.size {
			if m.running[k] {
				m.sendClaims(k)
			}
		}
	case "keep":
		c := *d
		m.backups[i] = &c
	case "kill":
		m.running[i] = false
		for k := range m.size {
			m.verifiers[k].ConnectionClosed(replicaID(i), uint64(i))
		}
	case "old":
		*d = *m.backups[i]
	case "empty":
		*d = Claim{ID: d.ID, Addr: d.Addr, Fresh: true, DirectoryState: DirectoryState{DirectoryID: fmt.Sprint(d.DirectoryID, "+")}}
	case "start":
		m.startReplica(i)
	case "promote":
		m.voters[i] = true
		m.latestAsVoter[i] = d.DirectoryState
	}
	return true
}

func (m *clusterModel) startReplica(i int) {
	d := &m.directories[i]
	m.processCount++
	d.OpenCount++
	d.ProcessID = fmt.Sprint("q", m.processCount)
	d.RejoinReason, d.Running = "", false
	plainRestart := d.DirectoryID == m.latestAsVoter[i].DirectoryID && !d.behind(m.latestAsVoter[i]) &&
		d.OpenCount == m.latestAsVoter[i].OpenCount+1
	joiner := Joiner{Claim: *d, InjectedBug: m.injectedBug, WaitElapsed: true}
	for k := range m.size {
		if k != i {
			joiner.Peers = append(joiner.Peers, replicaID(k))
		}
	}
	demoted := false
	for range 4 {
		responses := m.sendClaims(i)
		for _, response := range responses {
			if demoted && joiner.RejoinReason != "" {
				response.JoinIndex = m.lastIndex
			}
			joiner.AddResponse(response)
		}
		decision, _ := joiner.Decide()
		switch decision {
		case DecisionRequestRejoin:
			joiner.RejoinReason = "contradicted"
			d.RejoinReason = joiner.RejoinReason
			runningVoters := 0
			for k := range m.size {
				if m.running[k] && m.voters[k] {
					runningVoters++
				}
			}
			if 2*runningVoters > m.size { // a leader makes the replica a non-voter
				m.lastIndex++
				m.voters[i] = false
				demoted = true
			}
		case DecisionResetDirectory:
			*d = Claim{ID: d.ID, Addr: d.Addr, Fresh: true,
				DirectoryState: DirectoryState{DirectoryID: fmt.Sprint(d.DirectoryID, "'", m.processCount), OpenCount: 1, ProcessID: d.ProcessID, JoinIndex: m.lastIndex}}
			joiner.Claim = *d
			joiner.ClearResponses()
		case DecisionStart, DecisionBootstrap:
			m.running[i] = true
			return
		case DecisionWait, DecisionStop:
			if plainRestart && m.voters[i] && len(responses) == m.size-1 {
				m.rejectedRestarts++
			}
			return
		}
	}
}

// violation describes a violated invariant, or returns "": a voter takes part without entries that it had as a voter, or a plain
// restart was rejected.
func (m *clusterModel) violation() string {
	for i := range m.size {
		if d := m.directories[i]; m.running[i] && m.voters[i] && d.behind(m.latestAsVoter[i]) {
			return fmt.Sprintf("%s votes with last entry %d, it had %d", d.ID, d.LastIndex, m.latestAsVoter[i].LastIndex)
		}
	}
	if m.rejectedRestarts > 0 {
		return "a plain restart was rejected although all peers responded"
	}
	return ""
}

var stepKinds = []string{"write", "keep", "kill", "old", "empty", "start", "promote"}

// runSteps executes steps and returns the violated invariant, and whether the last step was applicable. A replica is only killed,
// restored or emptied while a majority of voters besides it runs. A loss that no running replica remembers cannot be
// detected, which is a documented limit.
func runSteps(n int, steps []string, injectedBug string) (violation string, applicable bool) {
	m := newClusterModel(n, injectedBug)
	for at, s := range steps {
		applicable = false
		kind, replica, _ := strings.Cut(s, " ")
		i := int(replica[0] - 'a')
		if kind == "old" || kind == "empty" || kind == "kill" {
			otherVoters := 0
			for k := range n {
				if k != i && m.running[k] && m.voters[k] {
					otherVoters++
				}
			}
			if 2*otherVoters <= n {
				continue
			}
		}
		applicable = m.execute(kind, i)
		if violation := m.violation(); violation != "" {
			return fmt.Sprintf("%s after %q", violation, steps[:at+1]), applicable
		}
	}
	return "", applicable
}

// Exhaustive search of all step sequences up to a depth on one replica while its peers run: it never votes without entries that
// it had as a voter. Sequences are not extended after a step that is not applicable.
func TestNoStepSequenceLetsAnOutdatedReplicaVote(t *testing.T) {
	const depth = 8
	sequences := 0
	var extend func(steps []string) string
	extend = func(steps []string) string {
		for _, kind := range stepKinds {
			next := append(steps[:len(steps):len(steps)], kind+" c")
			violation, applicable := runSteps(3, next, "")
			if violation != "" {
				return violation
			}
			if sequences++; applicable && len(next) < depth {
				if violation := extend(next); violation != "" {
					return violation
				}
			}
		}
		return ""
	}
	if violation := extend(nil); violation != "" {
		t.Error(violation)
	}
	t.Logf("%d sequences up to depth %d", sequences, depth)
	found, _ := runSteps(3, []string{"keep c", "write c", "kill c", "old c", "start c"}, BugAnyDirectory)
	if !strings.Contains(found, "c votes with last entry 10, it had 11") {
		t.Errorf("injected bug: got %q", found)
	}
}

// Long random step sequences over three and five replicas violate no invariant, and reveal the injected bug.
func TestRandomStepSequencesKeepOutdatedReplicasFromVoting(t *testing.T) {
	found := 0
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 3 + 2*int(seed%2)
		var steps []string
		for range 60 {
			steps = append(steps, stepKinds[rng.IntN(len(stepKinds))]+" "+replicaID(rng.IntN(n)))
		}
		if violation, _ := runSteps(n, steps, ""); violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		if violation, _ := runSteps(n, steps, BugAnyDirectory); violation != "" {
			found++
		}
	}
	if found == 0 {
		t.Error("the injected bug was never found")
	}
}

// A learner is promoted once it keeps up with the leader, and never while it stays slightly behind.
func TestLaggingLearnerIsNotPromoted(t *testing.T) {
	var slow, fast Learner
	c := newClaim("c", "g", 1, 1, 0)
	c.Running = true
	for leaderLastIndex := uint64(100); leaderLastIndex < 5000; leaderLastIndex += 100 {
		c.LastIndex = leaderLastIndex - 150
		if slow.Report(c, leaderLastIndex) {
			t.Fatalf("promoted with entry %d of %d", c.LastIndex, leaderLastIndex)
		}
		c.LastIndex = leaderLastIndex - 50
		if got, want := fast.Report(c, leaderLastIndex), leaderLastIndex >= 300; got != want {
			t.Fatalf("leader at entry %d: promoted %v, want %v", leaderLastIndex, got, want)
		}
	}
	if slow.Lag != 150 || fast.Lag != 50 {
		t.Errorf("%+v %+v", slow, fast)
	}
	c.ProcessID = "another"
	if fast.Report(c, 5000) {
		t.Error("a new process was promoted by the reports of its predecessor")
	}
}

func TestReplicasThatDifferFromAMajorityAreFound(t *testing.T) {
	d := func(index, sum uint64) Digest { return Digest{Index: index, Sum: sum} }
	for name, tc := range map[string]struct {
		digests   map[string]Digest
		voters    int
		divergent string
		split     bool
	}{
		"all equal":                 {map[string]Digest{"a": d(9, 1), "b": d(9, 1), "c": d(9, 1)}, 3, "", false},
		"one differs":               {map[string]Digest{"a": d(9, 1), "b": d(9, 2), "c": d(9, 1)}, 3, "b", false},
		"one has an earlier digest": {map[string]Digest{"a": d(9, 1), "b": d(9, 2), "c": d(8, 1)}, 3, "", false},
		"the differing one has an earlier digest": {map[string]Digest{"a": d(9, 1), "b": d(8, 2), "c": d(9, 1)}, 3, "", false},
		"all three differ":                        {map[string]Digest{"a": d(9, 1), "b": d(9, 2), "c": d(9, 3)}, 3, "", true},
		"two of five":                             {map[string]Digest{"a": d(9, 1), "b": d(9, 2), "c": d(9, 1), "d": d(9, 3), "e": d(9, 1)}, 5, "bd", false},
		"two against two, one missing":            {map[string]Digest{"a": d(9, 1), "b": d(9, 2), "c": d(9, 1), "d": d(9, 2)}, 5, "", false},
		"two against two and one":                 {map[string]Digest{"a": d(9, 1), "b": d(9, 2), "c": d(9, 1), "d": d(9, 2), "e": d(9, 3)}, 5, "", true},
		"no digests yet":                          {map[string]Digest{"a": d(0, 0), "b": d(0, 0)}, 3, "", false},
	} {
		index := uint64(0)
		for _, v := range tc.digests {
			index = max(index, v.Index)
		}
		divergent, split := FindDivergent(index, tc.digests, tc.voters)
		if strings.Join(divergent, "") != tc.divergent || split != tc.split {
			t.Errorf("%s: %q, %v", name, divergent, split)
		}
	}
	verifier := NewVerifier("a", nil)
	c := newClaim("c", "f", 1, 1, 5)
	verifier.HandleClaim(0, 1, c, threeVoters)
	verifier.MarkDivergent("c")
	if response, _ := verifier.HandleClaim(1, 1, c, threeVoters); response.Verdict != VerdictStateDiverged {
		t.Errorf("%+v", response)
	}
	c.DirectoryID, c.JoinIndex = "g", 30
	if response, _ := verifier.HandleClaim(2, 1, c, threeVoters); response.Verdict != VerdictAccepted {
		t.Errorf("after it rejoined: %+v", response)
	}
}
