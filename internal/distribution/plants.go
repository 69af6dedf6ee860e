package distribution

// Injected bugs, with which the fault-injection lab and the tests verify that their checks find a fault. Off in production.
const (
	BugLostChange       = "lost-change"       // a watcher that switches relays skips the first commit from the new one
	BugEarlyReport      = "early-report"      // a revision is reported before it has been applied
	BugSnapshotRevision = "snapshot-revision" // a snapshot is labelled with a revision that it does not contain
)

// InjectedBugs lists all injected bugs of this package.
var InjectedBugs = []string{BugLostChange, BugEarlyReport, BugSnapshotRevision}
