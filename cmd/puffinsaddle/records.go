package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/distribution"
	"puffinsaddle/internal/net/configwatch"
	"puffinsaddle/internal/net/session"
	"puffinsaddle/internal/net/uwsgi"
	"puffinsaddle/internal/publish"
	"puffinsaddle/internal/records"
	"puffinsaddle/internal/relay"
	"puffinsaddle/internal/replica"
	"puffinsaddle/internal/state"
	"puffinsaddle/internal/store"
	"puffinsaddle/internal/trace"
)

// settingNames are the names of the settings that order servers support.
var settingNames = []string{publishedOperator, publishedInventory + ".csv", publishedInventory + ".yml", publishedInventory + ".yaml"}

// checkChange refuses a change that has an invalid value, or after which the settings would be inconsistent with each other.
func checkChange(storeReplica *store.Store, c records.Change) error {
	settings := map[string][]byte{}
	storeReplica.View(func(st *state.State, _ uint64) {
		for _, name := range settingNames {
			if value, _, ok := st.Records.Table().Get(records.Key{Kind: records.Setting, Name: name}); ok {
				settings[name] = value
			}
		}
	})
	var first records.Key
	for _, p := range c.Puts {
		if err := records.CheckValue(p); err != nil {
			return err
		}
		if p.Kind != records.Setting {
			continue
		}
		if !slices.Contains(settingNames, p.Name) {
			return &records.Refusal{Key: p.Key, Reason: fmt.Errorf("%w: there are the settings %s", records.ErrRejected, strings.Join(settingNames, ", "))}
		}
		settings[p.Name] = p.Value
		first = p.Key
	}
	for _, k := range c.Deletes {
		if k.Kind == records.Setting {
			delete(settings, k.Name)
			first = k
		}
	}
	if first == (records.Key{}) {
		return nil
	}
	if _, err := publishedServers(settingFiles(settings)); err != nil {
		return &records.Refusal{Key: first, Reason: fmt.Errorf("%w: %w", records.ErrRejected, err)}
	}
	return nil
}

// settingFiles returns settings as files, in the order of settingNames.
func settingFiles(settings map[string][]byte) (files []publish.File) {
	for _, name := range settingNames {
		if text, ok := settings[name]; ok {
			files = append(files, publish.File{Name: name, Text: text})
		}
	}
	return files
}

// recordsWatch is an order server's configuration replica and the client that keeps it current. The methods of a nil one do
// nothing: the server watches no relay.
type recordsWatch struct {
	replica     *replica.Replica
	client      *configwatch.Client
	uwsgiRunner *uwsgi.Runner
	log         zerolog.Logger
	settings    map[string][]byte
}

// recordsMetrics is the records section of the metrics.
type recordsMetrics struct {
	configwatch.ClientMetrics
	Revision uint64              `json:"revision"`
	Digest   string              `json:"digest"`
	Records  int                 `json:"records"`
	Report   distribution.Report `json:"report"`
}

// newRecordsWatch returns a watch that has sent nothing yet, or nil if the operator's file names no relays.
func newRecordsWatch(cfg *config.Config, t *trace.Log, uwsgiRunner *uwsgi.Runner, log zerolog.Logger) (*recordsWatch, error) {
	d := cfg.Operator.Distribution
	if len(d.Relays) == 0 {
		return nil, nil
	}
	w := &recordsWatch{uwsgiRunner: uwsgiRunner, log: log, settings: map[string][]byte{}}
	injectedBug := cfg.Operator.Lab.InjectedBug
	w.replica = replica.Open(replica.Options{Name: cfg.Name, Path: d.ReplicaPath, CheckRecord: records.CheckValue, ApplySettings: w.applySettings, Log: log, InjectedBug: injectedBug,
		OnCommit: func(c records.Commit) {
			t.Add(trace.Event{What: trace.CommitsInForce, Index: c.Revision, N: c.Revision, Text: c.After.String()}, 0)
		},
		OnSnapshot: func(p distribution.Position) { traceSnapshot(t, p) },
		OnReport:   func(revision uint64) { t.Add(trace.Event{What: trace.RevisionReported, N: revision}, 0) }})
	traceSnapshot(t, w.replica.Position())
	w.client = configwatch.NewClient(configwatch.ClientOptions{Name: cfg.Name, Steady: clock.Monotonic(), Log: log, InjectedBug: injectedBug, Replica: w.replica,
		Selector: distribution.NewSelector(d.Relays, distribution.Locality{Zone: d.Zone, Region: d.Region}, cfg.Seed)})
	return w, nil
}

// traceSnapshot records that a snapshot at position p was installed.
func traceSnapshot(t *trace.Log, p distribution.Position) {
	t.Add(trace.Event{What: trace.RecordsInstalled, N: p.Revision, Text: p.Digest.String()}, 0)
}

// applySettings applies changed settings all at once; a nil value deletes a setting. If the settings are then inconsistent
// with each other, the list of uwsgi servers stays as it was.
func (w *recordsWatch) applySettings(changed map[string][]byte) error {
	for name, value := range changed {
		if value == nil {
			delete(w.settings, name)
		} else {
			w.settings[name] = value
		}
	}
	addresses, err := publishedServers(settingFiles(w.settings))
	if err != nil {
		return err
	}
	if w.uwsgiRunner != nil && len(addresses) > 0 {
		w.uwsgiRunner.SetServers(addresses)
	}
	return nil
}

func (w *recordsWatch) run(ctx context.Context) {
	if w != nil {
		go w.client.Run(ctx)
	}
}

func (w *recordsWatch) close() {
	if w != nil {
		w.replica.Close()
	}
}

// metrics returns the records section of the metrics, or nil if the server watches no relay.
func (w *recordsWatch) metrics() *recordsMetrics {
	if w == nil {
		return nil
	}
	p := w.replica.Position()
	return &recordsMetrics{w.client.Metrics(), p.Revision, p.Digest.String(), w.replica.RecordCount(), w.replica.Report()}
}

// traceLog returns the process's trace, or nil if tracing is off.
func (h *dutyManager) traceLog() *trace.Log {
	if h == nil {
		return nil
	}
	return h.trace
}

// relayCmd runs a relay.
type relayCmd struct {
	Operator string `required:"" env:"PUFFINSADDLE_OPERATOR" type:"existingfile" help:"An operator's file with the section relay."`
}

// Run relays configuration until SIGTERM or Ctrl-C.
func (c *relayCmd) Run(out io.Writer) error {
	operatorFile, err := config.LoadOperator(c.Operator)
	if err != nil {
		return fmt.Errorf("%w: %v", errUsage, err)
	}
	settings := operatorFile.Relay
	if !settings.Enabled() {
		return fmt.Errorf("%w: %s: relay.listen is missing", errUsage, c.Operator)
	}
	if operatorFile.Lab != (config.Lab{}) && os.Getenv("PUFFINSADDLE_LAB") == "" {
		return fmt.Errorf("%w: %s: \"lab\" is set, and this process is not the laboratory's (PUFFINSADDLE_LAB)", errUsage, c.Operator)
	}
	if settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryLimitMB * memoryLimitFraction * (1 << 20)))
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(out).With().Timestamp().Str("name", settings.Name).Logger().Level(zerolog.InfoLevel)
	steady := clock.Monotonic()
	var t *trace.Log
	if operatorFile.Lab.TracePath != "" {
		if t, err = trace.Open(operatorFile.Lab.TracePath, settings.Name, steady); err != nil {
			return err
		}
		defer t.Close()
		t.Add(trace.Event{What: trace.ProcessStarted}, 0)
	}
	limits := distribution.DefaultLimits
	limits.Watchers, limits.Snapshots = settings.MaxWatchers, settings.MaxSnapshots
	r, err := relay.Open(relay.Options{Name: settings.Name, Region: settings.Region, Listen: settings.Listen, StoreAddresses: settings.Replicas, Elsewhere: settings.Alternatives, Path: settings.ReplicaPath, Limits: limits,
		Seed: seedOf(settings.Name), Steady: steady, Log: log, InjectedBug: operatorFile.Lab.InjectedBug,
		OnCommit: func(c records.Commit) {
			t.Add(trace.Event{What: trace.CommitsInForce, Index: c.Revision, N: c.Revision, Text: c.After.String()}, 0)
		},
		OnSnapshot: func(p distribution.Position) { traceSnapshot(t, p) },
		OnReport:   func(revision uint64) { t.Add(trace.Event{What: trace.RevisionReported, N: revision}, 0) }})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if settings.MetricsListen != "" {
		if err := serveMetrics(ctx, settings.MetricsListen, r); err != nil {
			return err
		}
	}
	log.Info().Str("at", r.Addr()).Msg("relaying configuration")
	return r.Run(ctx)
}

const metricsTimeout = 2 * time.Second // of a request for a relay's metrics

// serveMetrics serves the relay's metrics at GET /-/metrics until ctx is done.
func serveMetrics(ctx context.Context, address string, r *relay.Relay) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/metrics", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(r.Metrics()) })
	s := &http.Server{Handler: mux, ReadTimeout: metricsTimeout, WriteTimeout: metricsTimeout}
	context.AfterFunc(ctx, func() { s.Close() })
	go s.Serve(ln)
	return nil
}

// seedOf derives a process's random seed from its name, so that processes differ in their random delays and choices.
func seedOf(name string) uint64 { return records.Checksum([]byte(name)) }

// changeCmd changes records atomically.
type changeCmd struct {
	connectFlags
	File string `required:"" type:"existingfile" help:"The change as JSON: base, puts (kind, name, text or value) and deletes (kind, name)."`
}

// changeFile is a change in an operator's file. Each put has either a JSON value or a text.
type changeFile struct {
	Base uint64 `json:"base"`
	Puts []struct {
		fileKey
		Value json.RawMessage `json:"value"`
		Text  *string         `json:"text"`
	} `json:"puts"`
	Deletes []fileKey `json:"deletes"`
}

// fileKey is a record's key in an operator's file.
type fileKey struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// key converts k to a record's key. It returns an error that names the kind if the kind is unknown.
func (k fileKey) key() (records.Key, error) {
	var kind records.Kind
	if err := kind.UnmarshalText([]byte(k.Kind)); err != nil || kind.MaxValueBytes() == 0 {
		return records.Key{}, fmt.Errorf("%w %q; there are %s, %s and %s", records.ErrUnknownKind, k.Kind, records.Route, records.Tenant, records.Setting)
	}
	return records.Key{Kind: kind, Name: k.Name}, nil
}

// readChange reads and checks a change in an operator's file.
func readChange(path string) (c records.Change, err error) {
	f, err := os.Open(path)
	if err != nil {
		return c, err
	}
	defer f.Close()
	var file changeFile
	d := json.NewDecoder(io.LimitReader(f, 4*records.MaxChangeBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&file); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	c = records.Change{Base: file.Base}
	for i, p := range file.Puts {
		k, err := p.key()
		switch {
		case err != nil:
			return c, fmt.Errorf("%s: puts[%d]: %w", path, i, err)
		case (p.Text == nil) == (p.Value == nil):
			return c, fmt.Errorf("%s: puts[%d]: %s needs either value or text", path, i, k)
		case p.Text != nil:
			c.Puts = append(c.Puts, records.Put{Key: k, Value: []byte(*p.Text)})
		default:
			c.Puts = append(c.Puts, records.Put{Key: k, Value: p.Value})
		}
	}
	for i, d := range file.Deletes {
		k, err := d.key()
		if err != nil {
			return c, fmt.Errorf("%s: deletes[%d]: %w", path, i, err)
		}
		c.Deletes = append(c.Deletes, k)
	}
	if err := c.Check(); err != nil {
		return c, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Run submits the change to the store and prints the new revision.
func (c *changeCmd) Run(out io.Writer) error {
	change, err := readChange(c.File)
	if err != nil {
		return fmt.Errorf("%w: %v", errUsage, err)
	}
	return c.withSession(func(ctx context.Context, client *session.Client, _ config.Duties) error {
		r, err := client.Do(ctx, state.Command{Op: state.OpChangeRecords, Change: &change})
		if err != nil {
			if errors.Is(err, session.ErrUnconfirmed) {
				err = fmt.Errorf("%w; check the revision before retrying the change", err)
			}
			return err
		}
		return c.printResult(out, map[string]uint64{"revision": r.Value}, fmt.Sprintf("revision %d", r.Value))
	})
}

// configStatusCmd prints the revision and the staleness of each region.
type configStatusCmd struct{ connectFlags }

// Run queries the store's leader.
func (c *configStatusCmd) Run(out io.Writer) error {
	return c.withSession(func(ctx context.Context, client *session.Client, _ config.Duties) error {
		var s distribution.Status
		if err := client.Read(ctx, session.ReadConfig, &s); err != nil {
			return session.ErrNotExecuted // a read may be repeated
		}
		if c.JSON {
			return json.NewEncoder(out).Encode(s)
		}
		return printConfigStatus(out, s)
	})
}

func printConfigStatus(out io.Writer, s distribution.Status) error {
	fmt.Fprintf(out, "the latest revision is %d\n", s.Revision)
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "REGION\tRELAYS\tLOST\tSERVERS\tLOWEST\tAT\tBEHIND\tAGE\tREFUSING\tSILENT")
	for _, r := range s.Regions {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%s\t%d\t%s\t%d\t%s\n", orDash(r.Region), r.ConnectedRelays, r.DisconnectedRelays, r.Servers, r.LowestRevision, orDash(r.LowestServer), r.ServersBehind,
			formatSeconds(r.StalenessMS), r.ServersRejecting, formatSeconds(r.SinceReportMS))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range s.Regions {
		for _, j := range r.Rejections {
			fmt.Fprintf(out, "%s refuses %s of revision %d: %s\n", j.Server, j.Key, j.Revision, j.Reason)
		}
	}
	return nil
}

// formatSeconds formats a duration in ms, rounded to tenths of a second.
func formatSeconds(ms float64) string {
	return clock.Duration(ms).Round(100 * time.Millisecond).String()
}
