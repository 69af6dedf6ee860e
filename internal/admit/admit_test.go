package admit

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func newClaim(id, directoryID string, openCount, term, lastIndex uint64) Claim {
	return Claim{ID: id, Addr: "at-" + id, DirectoryState: DirectoryState{DirectoryID: directoryID, OpenCount: openCount, ProcessID: fmt.Sprint(directoryID, "/", openCount), Term: term, LastIndex: lastIndex}}
}

var threeVoters = View{Bootstrapped: true, LastIndex: 50, ClusterName: "set", Members: map[string]Member{"a": {"at-a", true}, "b": {"at-b", true}, "c": {"at-c", true}}}

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
		"a plain restart":                        {changed(func(*Claim) {}), VerdictAccepted},
		"with a later term, its tail cut off":    {changed(func(c *Claim) { c.Term, c.LastIndex = 8, 38 }), VerdictAccepted},
		"one entry less":                         {changed(func(c *Claim) { c.LastIndex = 39 }), VerdictOutdated},
		"a term less":                            {changed(func(c *Claim) { c.Term, c.LastIndex = 6, 45 }), VerdictOutdated},
		"opened as often before":                 {changed(func(c *Claim) { c.OpenCount, c.ProcessID = 3, "another" }), VerdictOutdated},
		"an empty folder":                        {changed(func(c *Claim) { *c = newClaim("c", "g", 1, 0, 0); c.Fresh = true }), VerdictOtherDirectory},
		"somebody else's folder":                 {changed(func(c *Claim) { c.DirectoryID = "g" }), VerdictOtherDirectory},
		"joined anew through the leader":         {changed(func(c *Claim) { c.DirectoryID, c.JoinIndex = "g", 30 }), VerdictAccepted},
		"at another address":                     {changed(func(c *Claim) { c.Addr = "at-x" }), VerdictOtherAddress},
		"a folder of another set":                {changed(func(c *Claim) { c.ClusterName = "another" }), VerdictOtherCluster},
		"a folder of this set":                   {changed(func(c *Claim) { c.ClusterName = "set" }), VerdictAccepted},
		"an id that the set does not have":       {newClaim("x", "f", 1, 7, 40), VerdictNotMember},
		"the same process, its tail cut off":     {func() Claim { c := before; c.LastIndex = 30; return c }(), VerdictAccepted},
		"the same process with an emptied disk":  {func() Claim { c := before; c.DirectoryID = "g"; return c }(), VerdictOtherDirectory},
		"a good folder that asks to begin again": {changed(func(c *Claim) { c.RejoinReason = "damaged" }), VerdictAccepted},
	} {
		w := NewVerifier("a", nil)
		if response, persist := w.HandleClaim(0, 1, before, threeVoters); response.Verdict != VerdictAccepted || !persist {
			t.Fatalf("the first claim: %+v %v", response, persist)
		}
		w.ConnectionClosed("c", 1)
		if response, _ := w.HandleClaim(10, 2, tc.c, threeVoters); response.Verdict != tc.want {
			t.Errorf("%s: %+v, want %s", name, response, tc.want)
		}
	}
}

// A mark that speaks against a claim is not replaced by it: the folder may come again.
func TestRejectedClaimsAreNotRemembered(t *testing.T) {
	w := NewVerifier("a", map[string]DirectoryState{"c": newClaim("c", "f", 3, 7, 40).DirectoryState})
	old := newClaim("c", "f", 3, 6, 20)
	old.ProcessID = "old"
	for range 3 {
		if response, persist := w.HandleClaim(0, 1, old, threeVoters); response.Verdict != VerdictOutdated || persist {
			t.Errorf("%+v %v", response, persist)
		}
	}
	if w.Directories["c"].LastIndex != 40 {
		t.Errorf("%+v", w.Directories["c"])
	}
	unconfigured := View{}
	if response, _ := w.HandleClaim(0, 1, old, unconfigured); response.Verdict != VerdictOutdated {
		t.Errorf("a witness that knows no configuration yet: %+v", response)
	}
}

func TestOnlyOneProcessPerIDIsAccepted(t *testing.T) {
	w := NewVerifier("a", nil)
	first, second := newClaim("c", "f", 1, 1, 5), newClaim("c", "g", 1, 1, 5)
	w.HandleClaim(0, 1, first, threeVoters)
	if response, _ := w.HandleClaim(AliveTimeoutMS-1, 2, second, threeVoters); response.Verdict != VerdictDuplicateProcess {
		t.Errorf("while the first is alive: %+v", response)
	}
	w.ConnectionClosed("c", 2)
	if response, _ := w.HandleClaim(AliveTimeoutMS-1, 3, second, threeVoters); response.Verdict != VerdictDuplicateProcess {
		t.Errorf("after its own connection ended: %+v", response)
	}
	if response, _ := w.HandleClaim(AliveTimeoutMS, 3, second, threeVoters); response.Verdict != VerdictOtherDirectory {
		t.Errorf("once the first is silent: %+v", response)
	}
	if response, _ := w.HandleClaim(AliveTimeoutMS+1, 1, first, threeVoters); response.Verdict != VerdictProcessReplaced {
		t.Errorf("the first, when it goes on: %+v", response)
	}
	w.ConnectionClosed("c", 3)
	if response, _ := w.HandleClaim(AliveTimeoutMS+2, 1, first, threeVoters); response.Verdict != VerdictAccepted {
		t.Errorf("the first, when the second is gone: %+v", response)
	}
}

// What a seeker does, by what it is told.
func TestJoinerDecidesByResponses(t *testing.T) {
	accepts := func(from string) Response {
		return Response{From: from, Verdict: VerdictAccepted, Bootstrapped: true, LastIndex: 50}
	}
	rejects := func(from string, v Verdict) Response {
		return Response{From: from, Verdict: v, Reason: "it says so", Bootstrapped: true, LastIndex: 50}
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
		"nobody heard":                             {restarted, false, nil, DecisionWait},
		"one of two agrees":                        {restarted, false, []Response{accepts("a")}, DecisionStart},
		"its state differs":                        {restarted, false, []Response{accepts("a"), rejects("b", VerdictStateDiverged)}, DecisionRequestRejoin},
		"one of two agrees, strict":                {restarted, true, []Response{accepts("a")}, DecisionWait},
		"both agree, strict":                       {restarted, true, []Response{accepts("a"), accepts("b")}, DecisionStart},
		"one is against":                           {restarted, false, []Response{accepts("a"), rejects("b", VerdictOutdated)}, DecisionRequestRejoin},
		"a stranger agrees":                        {restarted, false, []Response{accepts("x")}, DecisionWait},
		"another process is alive":                 {restarted, false, []Response{accepts("a"), rejects("b", VerdictDuplicateProcess)}, DecisionWait},
		"another process took its place":           {restarted, false, []Response{accepts("a"), rejects("b", VerdictProcessReplaced)}, DecisionStop},
		"its folder is of another set":             {restarted, false, []Response{rejects("a", VerdictOtherCluster), rejects("b", VerdictOtherCluster)}, DecisionWait},
		"who agrees belongs to no set yet":         {named, false, []Response{unbootstrapped("a"), unbootstrapped("b")}, DecisionWait},
		"asked and joined, another is elsewhere":   {rejoining, false, []Response{rejects("a", VerdictOtherAddress), {From: "b", Verdict: VerdictOtherDirectory, Bootstrapped: true, JoinIndex: 45}}, DecisionResetDirectory},
		"one of the others is of another set":      {restarted, false, []Response{accepts("a"), rejects("b", VerdictOtherCluster)}, DecisionStart},
		"it was removed":                           {restarted, false, []Response{accepts("a"), rejects("b", VerdictNotMember)}, DecisionWait},
		"empty, one other empty":                   {empty, false, []Response{unbootstrapped("a")}, DecisionWait},
		"all are empty":                            {empty, false, []Response{unbootstrapped("a"), unbootstrapped("b")}, DecisionBootstrap},
		"empty, and a set has begun":               {empty, false, []Response{unbootstrapped("a"), accepts("b")}, DecisionRequestRejoin},
		"empty, as the set began with it":          {empty, false, []Response{unbootstrapped("a"), {From: "b", Verdict: VerdictAccepted, Bootstrapped: true, KnowsDirectory: true}}, DecisionBootstrap},
		"asking":                                   {rejoining, false, []Response{accepts("a"), rejects("b", VerdictOutdated)}, DecisionWait},
		"asked and joined":                         {rejoining, false, []Response{{From: "a", Verdict: VerdictAccepted, Bootstrapped: true, JoinIndex: 45}}, DecisionResetDirectory},
		"joined, one has not heard of it yet":      {rejoined, false, []Response{accepts("a"), {From: "b", Verdict: VerdictOtherDirectory, Bootstrapped: true, LastIndex: 44}}, DecisionStart},
		"joined, and contradicted by who heard it": {rejoined, false, []Response{accepts("a"), rejects("b", VerdictOtherDirectory)}, DecisionRequestRejoin},
	} {
		s := Joiner{Claim: tc.c, Peers: []string{"a", "b"}, Strict: tc.strict, WaitElapsed: true}
		for _, w := range tc.responses {
			s.AddResponse(w)
		}
		if d, why := s.Decide(); d != tc.want || why == "" {
			t.Errorf("%s: %s (%s), want %s", name, d, why, tc.want)
		}
	}
	early := Joiner{Claim: restarted, Peers: []string{"a", "b"}}
	early.AddResponse(accepts("a"))
	if d, _ := early.Decide(); d != DecisionWait {
		t.Errorf("one of two is heard, and the other may be about to be: %s", d)
	}
	early.AddResponse(accepts("b"))
	if d, _ := early.Decide(); d != DecisionStart {
		t.Errorf("all are heard: %s", d)
	}
	for n, want := range map[int][2]int{0: {0, 0}, 2: {1, 2}, 4: {2, 3}, 6: {3, 4}} {
		s := Joiner{Peers: make([]string, n)}
		plain := s.RequiredResponses()
		s.Strict = true
		if strict := s.RequiredResponses(); plain != want[0] || strict != want[1] {
			t.Errorf("%d others: %d and %d, want %v", n, plain, strict, want)
		}
	}
}

// A set of copies whose disks are written, copied, put back and emptied. What is checked is the one thing that counts: a copy
// that starts has all that it ever had, unless it has joined anew and has no vote.
type clusterModel struct {
	size             int
	directories      []Claim          // the folder of each copy as it is
	backups          []*Claim         // a copy of it that was made
	latestAsVoter    []DirectoryState // the most that each ever had with its vote
	running          []bool           // its process runs, and it takes part
	verifiers        []*Verifier
	voters           []bool
	processCount     int
	lastIndex        uint64
	nowMS            float64
	injectedBug      string
	rejectedRestarts int // times that a plain restart was kept out though all others were there
}

func newClusterModel(n int, injectedBug string) *clusterModel {
	w := &clusterModel{size: n, directories: make([]Claim, n), backups: make([]*Claim, n), latestAsVoter: make([]DirectoryState, n), running: make([]bool, n), verifiers: make([]*Verifier, n),
		voters: make([]bool, n), lastIndex: 10, injectedBug: injectedBug}
	for i := range n {
		w.verifiers[i] = NewVerifier(replicaID(i), nil)
		w.voters[i], w.running[i] = true, true
		w.directories[i] = Claim{ID: replicaID(i), Addr: "at-" + replicaID(i), DirectoryState: DirectoryState{DirectoryID: fmt.Sprint("f", i), OpenCount: 1, ProcessID: fmt.Sprint("p", i), Term: 1, LastIndex: 10}}
		w.latestAsVoter[i] = w.directories[i].DirectoryState
	}
	for i := range n {
		w.sendClaims(i)
	}
	return w
}

func replicaID(i int) string { return string(rune('a' + i)) }

func (w *clusterModel) view(i int) View {
	v := View{Bootstrapped: true, LastIndex: w.directories[i].LastIndex, Members: map[string]Member{}}
	for k := range w.size {
		v.Members[replicaID(k)] = Member{"at-" + replicaID(k), w.voters[k]}
	}
	return v
}

// sendClaims tells all that run what a copy has, and returns what they say.
func (w *clusterModel) sendClaims(i int) (responses []Response) {
	for k := range w.size {
		if k != i && w.running[k] {
			response, _ := w.verifiers[k].HandleClaim(w.nowMS, uint64(i), w.directories[i], w.view(k))
			responses = append(responses, response)
		}
	}
	return responses
}

// execute tells whether it was one that could be taken.
func (w *clusterModel) execute(kind string, i int) bool {
	w.nowMS += 100
	d := &w.directories[i]
	switch {
	case (kind == "kill" || kind == "promote") && !w.running[i], (kind == "old" || kind == "empty" || kind == "start") && w.running[i],
		kind == "old" && w.backups[i] == nil, kind == "keep" && w.backups[i] != nil && *w.backups[i] == *d,
		kind == "promote" && (w.voters[i] || d.LastIndex != w.lastIndex):
		return false
	}
	switch kind {
	case "write": // all that run take entries, and tell so
		w.lastIndex++
		for k := range w.size {
			if w.running[k] {
				w.directories[k].LastIndex, w.directories[k].Fresh = w.lastIndex, false
				if w.voters[k] {
					w.latestAsVoter[k] = w.directories[k].DirectoryState
				}
			}
		}
		for k := range w.size {
			if w.running[k] {
				w.sendClaims(k)
			}
		}
	case "keep":
		c := *d
		w.backups[i] = &c
	case "kill":
		w.running[i] = false
		for k := range w.size {
			w.verifiers[k].ConnectionClosed(replicaID(i), uint64(i))
		}
	case "old":
		*d = *w.backups[i]
	case "empty":
		*d = Claim{ID: d.ID, Addr: d.Addr, Fresh: true, DirectoryState: DirectoryState{DirectoryID: fmt.Sprint(d.DirectoryID, "+")}}
	case "start":
		w.startReplica(i)
	case "promote":
		w.voters[i] = true
		w.latestAsVoter[i] = d.DirectoryState
	}
	return true
}

func (w *clusterModel) startReplica(i int) {
	d := &w.directories[i]
	w.processCount++
	d.OpenCount++
	d.ProcessID = fmt.Sprint("q", w.processCount)
	d.RejoinReason, d.Running = "", false
	plainRestart := d.DirectoryID == w.latestAsVoter[i].DirectoryID && !d.behind(w.latestAsVoter[i]) && d.OpenCount == w.latestAsVoter[i].OpenCount+1
	s := Joiner{Claim: *d, InjectedBug: w.injectedBug, WaitElapsed: true}
	for k := range w.size {
		if k != i {
			s.Peers = append(s.Peers, replicaID(k))
		}
	}
	demoted := false
	for range 4 {
		responses := w.sendClaims(i)
		for _, response := range responses {
			if demoted && s.RejoinReason != "" {
				response.JoinIndex = w.lastIndex
			}
			s.AddResponse(response)
		}
		decision, _ := s.Decide()
		switch decision {
		case DecisionRequestRejoin:
			s.RejoinReason = "contradicted"
			d.RejoinReason = s.RejoinReason
			runningVoters := 0
			for k := range w.size {
				if w.running[k] && w.voters[k] {
					runningVoters++
				}
			}
			if 2*runningVoters > w.size { // a leader joins it, without a vote
				w.lastIndex++
				w.voters[i] = false
				demoted = true
			}
		case DecisionResetDirectory:
			*d = Claim{ID: d.ID, Addr: d.Addr, Fresh: true, DirectoryState: DirectoryState{DirectoryID: fmt.Sprint(d.DirectoryID, "'", w.processCount), OpenCount: 1, ProcessID: d.ProcessID, JoinIndex: w.lastIndex}}
			s.Claim = *d
			s.ClearResponses()
		case DecisionStart, DecisionBootstrap:
			w.running[i] = true
			return
		case DecisionWait, DecisionStop:
			if plainRestart && w.voters[i] && len(responses) == w.size-1 {
				w.rejectedRestarts++
			}
			return
		}
	}
}

// violation tells what must never be so: a copy that takes part with its vote, and lacks what it had with it.
func (w *clusterModel) violation() string {
	for i := range w.size {
		if d := w.directories[i]; w.running[i] && w.voters[i] && d.behind(w.latestAsVoter[i]) {
			return fmt.Sprintf("%s votes with entry %d of its %d", d.ID, d.LastIndex, w.latestAsVoter[i].LastIndex)
		}
	}
	if w.rejectedRestarts > 0 {
		return "a plain restart was kept out though all others were there"
	}
	return ""
}

var stepKinds = []string{"write", "keep", "kill", "old", "empty", "start", "promote"}

// runSteps goes a way and tells what was broken. A copy is only put back or emptied while a majority of the others runs with its
// vote: what nobody left remembers nobody can tell, and the page on the store says so.
func runSteps(n int, steps []string, injectedBug string) (violation string, applicable bool) {
	w := newClusterModel(n, injectedBug)
	for at, s := range steps {
		applicable = false
		kind, replica, _ := strings.Cut(s, " ")
		i := int(replica[0] - 'a')
		if kind == "old" || kind == "empty" || kind == "kill" {
			otherVoters := 0
			for k := range n {
				if k != i && w.running[k] && w.voters[k] {
					otherVoters++
				}
			}
			if 2*otherVoters <= n {
				continue
			}
		}
		applicable = w.execute(kind, i)
		if violation := w.violation(); violation != "" {
			return fmt.Sprintf("%s after %q", violation, steps[:at+1]), applicable
		}
	}
	return "", applicable
}

// Every way of so many steps on one copy, with its others running. A step that can't be taken is not gone on from.
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
	t.Logf("%d ways to depth %d", sequences, depth)
	found, _ := runSteps(3, []string{"keep c", "write c", "kill c", "old c", "start c"}, BugAnyDirectory)
	if !strings.Contains(found, "c votes with entry 10 of its 11") {
		t.Errorf("the planted bug: %q", found)
	}
}

// Long ways over three and five copies, drawn by a seed.
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
		t.Error("the planted bug was never found")
	}
}

// A learner is promoted once it keeps up, and never while it stays a little behind.
func TestLaggingLearnerIsNotPromoted(t *testing.T) {
	var slow, fast Learner
	c := newClaim("c", "g", 1, 1, 0)
	c.Running = true
	for leaderLastIndex := uint64(100); leaderLastIndex < 5000; leaderLastIndex += 100 {
		c.LastIndex = leaderLastIndex - 150
		if slow.Report(c, leaderLastIndex) {
			t.Fatalf("promoted with %d of %d", c.LastIndex, leaderLastIndex)
		}
		c.LastIndex = leaderLastIndex - 50
		if got, want := fast.Report(c, leaderLastIndex), leaderLastIndex >= 300; got != want {
			t.Fatalf("at %d: %v, want %v", leaderLastIndex, got, want)
		}
	}
	if slow.Lag != 150 || fast.Lag != 50 {
		t.Errorf("%+v %+v", slow, fast)
	}
	c.ProcessID = "another"
	if fast.Report(c, 5000) {
		t.Error("another process is promoted by what the one before had")
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
		"all the same":                      {map[string]Digest{"a": d(9, 1), "b": d(9, 1), "c": d(9, 1)}, 3, "", false},
		"one differs":                       {map[string]Digest{"a": d(9, 1), "b": d(9, 2), "c": d(9, 1)}, 3, "b", false},
		"one has not looked yet":            {map[string]Digest{"a": d(9, 1), "b": d(9, 2), "c": d(8, 1)}, 3, "", false},
		"one looked at an earlier position": {map[string]Digest{"a": d(9, 1), "b": d(8, 2), "c": d(9, 1)}, 3, "", false},
		"all three differ":                  {map[string]Digest{"a": d(9, 1), "b": d(9, 2), "c": d(9, 3)}, 3, "", true},
		"two of five":                       {map[string]Digest{"a": d(9, 1), "b": d(9, 2), "c": d(9, 1), "d": d(9, 3), "e": d(9, 1)}, 5, "bd", false},
		"two against two, one not heard":    {map[string]Digest{"a": d(9, 1), "b": d(9, 2), "c": d(9, 1), "d": d(9, 2)}, 5, "", false},
		"two against two and one":           {map[string]Digest{"a": d(9, 1), "b": d(9, 2), "c": d(9, 1), "d": d(9, 2), "e": d(9, 3)}, 5, "", true},
		"nobody has looked":                 {map[string]Digest{"a": d(0, 0), "b": d(0, 0)}, 3, "", false},
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
	w := NewVerifier("a", nil)
	c := newClaim("c", "f", 1, 1, 5)
	w.HandleClaim(0, 1, c, threeVoters)
	w.MarkDivergent("c")
	if response, _ := w.HandleClaim(1, 1, c, threeVoters); response.Verdict != VerdictStateDiverged {
		t.Errorf("%+v", response)
	}
	c.DirectoryID, c.JoinIndex = "g", 30
	if response, _ := w.HandleClaim(2, 1, c, threeVoters); response.Verdict != VerdictAccepted {
		t.Errorf("after it joined anew: %+v", response)
	}
}
