package distribution

// Planted bugs, by which the laboratory and the tests show that they would find one. Nothing else sets any.
const (
	BugLostChange       = "lost-change"       // a watcher that turns to another relay loses the first change there
	BugEarlyReport      = "early-report"      // a revision is reported before it is in force
	BugSnapshotRevision = "snapshot-revision" // a snapshot is sent for a revision that it does not have
)

// InjectedBugs are all of them.
var InjectedBugs = []string{BugLostChange, BugEarlyReport, BugSnapshotRevision}
