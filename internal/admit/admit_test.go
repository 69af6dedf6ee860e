package admit

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func claim(id, folder string, life, term, last uint64) Claim {
	return Claim{ID: id, Addr: "at-" + id, DirectoryState: DirectoryState{DirectoryID: folder, OpenCount: life, ProcessID: fmt.Sprint(folder, "/", life), Term: term, LastIndex: last}}
}

var three = View{Bootstrapped: true, LastIndex: 50, ClusterName: "set", Members: map[string]Member{"a": {"at-a", true}, "b": {"at-b", true}, "c": {"at-c", true}}}

func TestWhatAWitnessRemembersSpeaksAgainstAFolder(t *testing.T) {
	before := claim("c", "f", 3, 7, 40)
	changed := func(do func(*Claim)) Claim {
		c := claim("c", "f", 4, 7, 40)
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
		"empty directory":                         {changed(func(c *Claim) { *c = claim("c", "g", 1, 0, 0); c.Fresh = true }), VerdictOtherDirectory},
		"directory of another replica":            {changed(func(c *Claim) { c.DirectoryID = "g" }), VerdictOtherDirectory},
		"rejoined through the leader":             {changed(func(c *Claim) { c.DirectoryID, c.JoinIndex = "g", 30 }), VerdictAccepted},
		"another address":                         {changed(func(c *Claim) { c.Addr = "at-x" }), VerdictOtherAddress},
		"directory of another cluster":            {changed(func(c *Claim) { c.ClusterName = "another" }), VerdictOtherCluster},
		"directory of this cluster":               {changed(func(c *Claim) { c.ClusterName = "set" }), VerdictAccepted},
		"id that is not a member":                 {claim("x", "f", 1, 7, 40), VerdictNotMember},
		"same process, log tail truncated":        {func() Claim { c := before; c.LastIndex = 30; return c }(), VerdictAccepted},
		"same process, emptied disk":              {func() Claim { c := before; c.DirectoryID = "g"; return c }(), VerdictOtherDirectory},
		"valid directory that requests to rejoin": {changed(func(c *Claim) { c.RejoinReason = "damaged" }), VerdictAccepted},
	} {
		w := NewVerifier("a", nil)
		if word, keep := w.HandleClaim(0, 1, before, three); word.Verdict != VerdictAccepted || !keep {
			t.Fatalf("first claim: %+v, persist %v", word, keep)
		}
		w.ConnectionClosed("c", 1)
		if word, _ := w.HandleClaim(10, 2, tc.c, three); word.Verdict != tc.want {
			t.Errorf("%s: %+v, want %s", name, word, tc.want)
		}
	}
}

// A remembered directory state that contradicts a claim is not overwritten by that claim, since the claim may be repeated.
func TestRefusedClaimsAreNotRemembered(t *testing.T) {
	w := NewVerifier("a", map[string]DirectoryState{"c": claim("c", "f", 3, 7, 40).DirectoryState})
	old := claim("c", "f", 3, 6, 20)
	old.ProcessID = "old"
	for range 3 {
		if word, keep := w.HandleClaim(0, 1, old, three); word.Verdict != VerdictOutdated || keep {
			t.Errorf("%+v %v", word, keep)
		}
	}
	if w.Directories["c"].LastIndex != 40 {
		t.Errorf("%+v", w.Directories["c"])
	}
	nobody := View{}
	if word, _ := w.HandleClaim(0, 1, old, nobody); word.Verdict != VerdictOutdated {
		t.Errorf("verifier without a configuration: %+v", word)
	}
}

func TestOneProcessOfAnID(t *testing.T) {
	w := NewVerifier("a", nil)
	first, second := claim("c", "f", 1, 1, 5), claim("c", "g", 1, 1, 5)
	w.HandleClaim(0, 1, first, three)
	if word, _ := w.HandleClaim(AliveFor-1, 2, second, three); word.Verdict != VerdictDuplicateProcess {
		t.Errorf("second process while the first is alive: %+v", word)
	}
	w.ConnectionClosed("c", 2)
	if word, _ := w.HandleClaim(AliveFor-1, 3, second, three); word.Verdict != VerdictDuplicateProcess {
		t.Errorf("second process after its own connection ended: %+v", word)
	}
	if word, _ := w.HandleClaim(AliveFor, 3, second, three); word.Verdict != VerdictOtherDirectory {
		t.Errorf("second process after the first has timed out: %+v", word)
	}
	if word, _ := w.HandleClaim(AliveFor+1, 1, first, three); word.Verdict != VerdictProcessReplaced {
		t.Errorf("first process, resumed: %+v", word)
	}
	w.ConnectionClosed("c", 3)
	if word, _ := w.HandleClaim(AliveFor+2, 1, first, three); word.Verdict != VerdictAccepted {
		t.Errorf("first process after the second has ended: %+v", word)
	}
}

// Each combination of claim and responses leads to one decision.
func TestSeekerDecides(t *testing.T) {
	good := func(from string) Response {
		return Response{From: from, Verdict: VerdictAccepted, Bootstrapped: true, LastIndex: 50}
	}
	bad := func(from string, v Verdict) Response {
		return Response{From: from, Verdict: v, Reason: "the reason", Bootstrapped: true, LastIndex: 50}
	}
	fresh := func(from string) Response { return Response{From: from, Verdict: VerdictAccepted} }
	old, empty := claim("c", "f", 4, 7, 40), Claim{ID: "c", Fresh: true}
	learner := claim("c", "g", 1, 0, 0)
	learner.JoinIndex, learner.Fresh = 45, true
	named := old
	named.ClusterName = "set"
	asking := old
	asking.RejoinReason = "older"
	for name, tc := range map[string]struct {
		c      Claim
		strict bool
		words  []Response
		want   Decision
	}{
		"no responses":                                {old, false, nil, DecisionWait},
		"one of two accepts":                          {old, false, []Response{good("a")}, DecisionStart},
		"state differs":                               {old, false, []Response{good("a"), bad("b", VerdictStateDiverged)}, DecisionRequestRejoin},
		"one of two accepts, strict":                  {old, true, []Response{good("a")}, DecisionWait},
		"both accept, strict":                         {old, true, []Response{good("a"), good("b")}, DecisionStart},
		"one contradicts":                             {old, false, []Response{good("a"), bad("b", VerdictOutdated)}, DecisionRequestRejoin},
		"accepted by a replica that is no peer":       {old, false, []Response{good("x")}, DecisionWait},
		"another process is alive":                    {old, false, []Response{good("a"), bad("b", VerdictDuplicateProcess)}, DecisionWait},
		"replaced by another process":                 {old, false, []Response{good("a"), bad("b", VerdictProcessReplaced)}, DecisionStop},
		"directory of another cluster":                {old, false, []Response{bad("a", VerdictOtherCluster), bad("b", VerdictOtherCluster)}, DecisionWait},
		"accepted by peers without a cluster":         {named, false, []Response{fresh("a"), fresh("b")}, DecisionWait},
		"rejoined, other address at one peer":         {asking, false, []Response{bad("a", VerdictOtherAddress), {From: "b", Verdict: VerdictOtherDirectory, Bootstrapped: true, JoinIndex: 45}}, DecisionResetDirectory},
		"one peer is of another cluster":              {old, false, []Response{good("a"), bad("b", VerdictOtherCluster)}, DecisionStart},
		"removed":                                     {old, false, []Response{good("a"), bad("b", VerdictNotMember)}, DecisionWait},
		"empty, one peer empty":                       {empty, false, []Response{fresh("a")}, DecisionWait},
		"all empty":                                   {empty, false, []Response{fresh("a"), fresh("b")}, DecisionBootstrap},
		"empty, cluster bootstrapped":                 {empty, false, []Response{fresh("a"), good("b")}, DecisionRequestRejoin},
		"empty, cluster bootstrapped with it":         {empty, false, []Response{fresh("a"), {From: "b", Verdict: VerdictAccepted, Bootstrapped: true, KnowsDirectory: true}}, DecisionBootstrap},
		"rejoin requested":                            {asking, false, []Response{good("a"), bad("b", VerdictOutdated)}, DecisionWait},
		"rejoin requested and granted":                {asking, false, []Response{{From: "a", Verdict: VerdictAccepted, Bootstrapped: true, JoinIndex: 45}}, DecisionResetDirectory},
		"rejoined, not known to one peer yet":         {learner, false, []Response{good("a"), {From: "b", Verdict: VerdictOtherDirectory, Bootstrapped: true, LastIndex: 44}}, DecisionStart},
		"rejoined, contradicted by a peer that knows": {learner, false, []Response{good("a"), bad("b", VerdictOtherDirectory)}, DecisionRequestRejoin},
	} {
		s := Joiner{Claim: tc.c, Peers: []string{"a", "b"}, Strict: tc.strict, WaitElapsed: true}
		for _, w := range tc.words {
			s.AddResponse(w)
		}
		if d, why := s.Decide(); d != tc.want || why == "" {
			t.Errorf("%s: %s (%s), want %s", name, d, why, tc.want)
		}
	}
	hasty := Joiner{Claim: old, Peers: []string{"a", "b"}}
	hasty.AddResponse(good("a"))
	if d, _ := hasty.Decide(); d != DecisionWait {
		t.Errorf("one of two peers accepts before the wait has elapsed: %s", d)
	}
	hasty.AddResponse(good("b"))
	if d, _ := hasty.Decide(); d != DecisionStart {
		t.Errorf("all peers accept before the wait has elapsed: %s", d)
	}
	for n, want := range map[int][2]int{0: {0, 0}, 2: {1, 2}, 4: {2, 3}, 6: {3, 4}} {
		s := Joiner{Peers: make([]string, n)}
		plain := s.Need()
		s.Strict = true
		if strict := s.Need(); plain != want[0] || strict != want[1] {
			t.Errorf("%d peers: %d required, %d if strict, want %v", n, plain, strict, want)
		}
	}
}

// world models a cluster whose data directories are written, backed up, restored and emptied. The invariant checked: a replica
// that starts as a voter has all entries that it ever had as a voter.
type world struct {
	n     int
	disk  []Claim          // the present data directory of each replica
	kept  []*Claim         // its backup; nil: none
	most  []DirectoryState // the latest state that each replica had as a voter
	up    []bool           // the process runs and takes part in the cluster
	w     []*Verifier
	votes []bool
	procs int
	last  uint64
	now   float64
	plant string
	long  int // plain restarts that were rejected although all peers responded
}

func newWorld(n int, plant string) *world {
	w := &world{n: n, disk: make([]Claim, n), kept: make([]*Claim, n), most: make([]DirectoryState, n), up: make([]bool, n), w: make([]*Verifier, n),
		votes: make([]bool, n), last: 10, plant: plant}
	for i := range n {
		w.w[i] = NewVerifier(id(i), nil)
		w.votes[i], w.up[i] = true, true
		w.disk[i] = Claim{ID: id(i), Addr: "at-" + id(i), DirectoryState: DirectoryState{DirectoryID: fmt.Sprint("f", i), OpenCount: 1, ProcessID: fmt.Sprint("p", i), Term: 1, LastIndex: 10}}
		w.most[i] = w.disk[i].DirectoryState
	}
	for i := range n {
		w.report(i)
	}
	return w
}

func id(i int) string { return string(rune('a' + i)) }

func (w *world) view(i int) View {
	v := View{Bootstrapped: true, LastIndex: w.disk[i].LastIndex, Members: map[string]Member{}}
	for k := range w.n {
		v.Members[id(k)] = Member{"at-" + id(k), w.votes[k]}
	}
	return v
}

// report sends the claim of a replica to all running ones and returns their responses.
func (w *world) report(i int) (words []Response) {
	for k := range w.n {
		if k != i && w.up[k] {
			word, _ := w.w[k].HandleClaim(w.now, uint64(i), w.disk[i], w.view(k))
			words = append(words, word)
		}
	}
	return words
}

// step executes one step and reports whether it was applicable.
func (w *world) step(what string, i int) bool {
	w.now += 100
	d := &w.disk[i]
	switch {
	case (what == "kill" || what == "promote") && !w.up[i], (what == "old" || what == "empty" || what == "start") && w.up[i],
		what == "old" && w.kept[i] == nil, what == "keep" && w.kept[i] != nil && *w.kept[i] == *d,
		what == "promote" && (w.votes[i] || d.LastIndex != w.last):
		return false
	}
	switch what {
	case "write": // all running replicas append an entry and send claims
		w.last++
		for k := range w.n {
			if w.up[k] {
				w.disk[k].LastIndex, w.disk[k].Fresh = w.last, false
				if w.votes[k] {
					w.most[k] = w.disk[k].DirectoryState
				}
			}
		}
		for k := range w.n {
			if w.up[k] {
				w.report(k)
			}
		}
	case "keep":
		c := *d
		w.kept[i] = &c
	case "kill":
		w.up[i] = false
		for k := range w.n {
			w.w[k].ConnectionClosed(id(i), uint64(i))
		}
	case "old":
		*d = *w.kept[i]
	case "empty":
		*d = Claim{ID: d.ID, Addr: d.Addr, Fresh: true, DirectoryState: DirectoryState{DirectoryID: fmt.Sprint(d.DirectoryID, "+")}}
	case "start":
		w.start(i)
	case "promote":
		w.votes[i] = true
		w.most[i] = d.DirectoryState
	}
	return true
}

func (w *world) start(i int) {
	d := &w.disk[i]
	w.procs++
	d.OpenCount++
	d.ProcessID = fmt.Sprint("q", w.procs)
	d.RejoinReason, d.Running = "", false
	legit := d.DirectoryID == w.most[i].DirectoryID && !d.behind(w.most[i]) && d.OpenCount == w.most[i].OpenCount+1
	s := Joiner{Claim: *d, InjectedBug: w.plant, WaitElapsed: true}
	for k := range w.n {
		if k != i {
			s.Peers = append(s.Peers, id(k))
		}
	}
	joined := false
	for range 4 {
		words := w.report(i)
		for _, word := range words {
			if joined && s.RejoinReason != "" {
				word.JoinIndex = w.last
			}
			s.AddResponse(word)
		}
		decision, _ := s.Decide()
		switch decision {
		case DecisionRequestRejoin:
			s.RejoinReason = "contradicted"
			d.RejoinReason = s.RejoinReason
			leads := 0
			for k := range w.n {
				if w.up[k] && w.votes[k] {
					leads++
				}
			}
			if 2*leads > w.n { // a leader makes the replica a non-voter
				w.last++
				w.votes[i] = false
				joined = true
			}
		case DecisionResetDirectory:
			*d = Claim{ID: d.ID, Addr: d.Addr, Fresh: true, DirectoryState: DirectoryState{DirectoryID: fmt.Sprint(d.DirectoryID, "'", w.procs), OpenCount: 1, ProcessID: d.ProcessID, JoinIndex: w.last}}
			s.Claim = *d
			s.ClearResponses()
		case DecisionStart, DecisionBootstrap:
			w.up[i] = true
			return
		case DecisionWait, DecisionStop:
			if legit && w.votes[i] && len(words) == w.n-1 {
				w.long++
			}
			return
		}
	}
}

// broken describes a violated invariant, or returns "": a voter takes part without entries that it had as a voter, or a plain
// restart was rejected.
func (w *world) broken() string {
	for i := range w.n {
		if d := w.disk[i]; w.up[i] && w.votes[i] && d.behind(w.most[i]) {
			return fmt.Sprintf("%s votes with last entry %d, it had %d", d.ID, d.LastIndex, w.most[i].LastIndex)
		}
	}
	if w.long > 0 {
		return "a plain restart was rejected although all peers responded"
	}
	return ""
}

var moves = []string{"write", "keep", "kill", "old", "empty", "start", "promote"}

// play executes steps and returns the violated invariant, and whether the last step was applicable. A replica is only killed,
// restored or emptied while a majority of voters besides it runs: what no running replica remembers cannot be detected, a limit
// that the page on the store documents.
func play(n int, way []string, plant string) (why string, taken bool) {
	w := newWorld(n, plant)
	for at, s := range way {
		taken = false
		what, who, _ := strings.Cut(s, " ")
		i := int(who[0] - 'a')
		if what == "old" || what == "empty" || what == "kill" {
			others := 0
			for k := range n {
				if k != i && w.up[k] && w.votes[k] {
					others++
				}
			}
			if 2*others <= n {
				continue
			}
		}
		taken = w.step(what, i)
		if why := w.broken(); why != "" {
			return fmt.Sprintf("%s after %q", why, way[:at+1]), taken
		}
	}
	return "", taken
}

// Exhaustive search of all step sequences up to a depth on one replica while its peers run: it never votes without entries that
// it had as a voter. Sequences are not extended after a step that is not applicable.
func TestEveryWayOfFoldersKeepsTheVoteFromWhatWasForgotten(t *testing.T) {
	const depth = 8
	seen := 0
	var down func(way []string) string
	down = func(way []string) string {
		for _, m := range moves {
			next := append(way[:len(way):len(way)], m+" c")
			why, taken := play(3, next, "")
			if why != "" {
				return why
			}
			if seen++; taken && len(next) < depth {
				if why := down(next); why != "" {
					return why
				}
			}
		}
		return ""
	}
	if why := down(nil); why != "" {
		t.Error(why)
	}
	t.Logf("%d sequences up to depth %d", seen, depth)
	found, _ := play(3, []string{"keep c", "write c", "kill c", "old c", "start c"}, PlantAnyFolder)
	if !strings.Contains(found, "c votes with last entry 10, it had 11") {
		t.Errorf("injected bug: got %q", found)
	}
}

// Long random step sequences over three and five replicas violate no invariant, and reveal the injected bug.
func TestLongWaysOfFolders(t *testing.T) {
	found := 0
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		n := 3 + 2*int(seed%2)
		var way []string
		for range 60 {
			way = append(way, moves[rng.IntN(len(moves))]+" "+id(rng.IntN(n)))
		}
		if why, _ := play(n, way, ""); why != "" {
			t.Fatalf("seed %d: %s", seed, why)
		}
		if why, _ := play(n, way, PlantAnyFolder); why != "" {
			found++
		}
	}
	if found == 0 {
		t.Error("the injected bug was never found")
	}
}

// A learner is promoted once it keeps up with the leader, and never while it stays slightly behind.
func TestLearnerThatIsAlwaysTooSlowIsNotPromoted(t *testing.T) {
	var slow, fast Learner
	c := claim("c", "g", 1, 1, 0)
	c.Running = true
	for mine := uint64(100); mine < 5000; mine += 100 {
		c.LastIndex = mine - 150
		if slow.Report(c, mine) {
			t.Fatalf("promoted with entry %d of %d", c.LastIndex, mine)
		}
		c.LastIndex = mine - 50
		if got, want := fast.Report(c, mine), mine >= 300; got != want {
			t.Fatalf("leader at entry %d: promoted %v, want %v", mine, got, want)
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

func TestMajorityDecidesWhoDiffers(t *testing.T) {
	d := func(at, sum uint64) Digest { return Digest{Index: at, Sum: sum} }
	for name, tc := range map[string]struct {
		of     map[string]Digest
		voters int
		odd    string
		split  bool
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
		at := uint64(0)
		for _, v := range tc.of {
			at = max(at, v.Index)
		}
		odd, split := FindDivergent(at, tc.of, tc.voters)
		if strings.Join(odd, "") != tc.odd || split != tc.split {
			t.Errorf("%s: %q, %v", name, odd, split)
		}
	}
	w := NewVerifier("a", nil)
	c := claim("c", "f", 1, 1, 5)
	w.HandleClaim(0, 1, c, three)
	w.MarkDivergent("c")
	if word, _ := w.HandleClaim(1, 1, c, three); word.Verdict != VerdictStateDiverged {
		t.Errorf("%+v", word)
	}
	c.DirectoryID, c.JoinIndex = "g", 30
	if word, _ := w.HandleClaim(2, 1, c, three); word.Verdict != VerdictAccepted {
		t.Errorf("after it rejoined: %+v", word)
	}
}
