package distribution

// Planted bugs, by which the laboratory and the tests show that they would find one. Nothing else sets any.
const (
	PlantLostChange       = "lost-change"       // a watcher that turns to another relay loses the first change there
	PlantEarlyReport      = "early-report"      // a revision is reported before it is in force
	PlantSnapshotRevision = "snapshot-revision" // a snapshot is sent for a revision that it does not have
)

// Plants are all of them.
var Plants = []string{PlantLostChange, PlantEarlyReport, PlantSnapshotRevision}
