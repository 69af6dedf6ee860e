package distribution

// Injected bugs, with which the fault-injection lab and the tests verify that their checks find a fault. Off in production.
const (
	PlantLostChange       = "lost-change"       // a watcher that switches relays skips the first commit from the new one
	PlantEarlyReport      = "early-report"      // a revision is reported before it has been applied
	PlantSnapshotRevision = "snapshot-revision" // a snapshot is labelled with a revision that it does not contain
)

// Plants lists all injected bugs of this package.
var Plants = []string{PlantLostChange, PlantEarlyReport, PlantSnapshotRevision}
