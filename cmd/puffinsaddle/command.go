package main

import (
	"context"
	crand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
	"puffinsaddle/internal/lab"
	"puffinsaddle/internal/lab/fit"
	"puffinsaddle/internal/lab/scale"
	"puffinsaddle/internal/net/session"
	"puffinsaddle/internal/state"
)

// Exit statuses of commands.
const (
	exitOK      = 0
	exitFailure = 1 // the operation failed, or an invariant is violated
	exitUsage   = 2 // invalid usage, or an invalid file
)

const commandTimeout = 10 * time.Second // includes finding the store's leader

// commandLine is the grammar of the command line; its field names are the commands' names.
type commandLine struct {
	Serve  struct{}  `cmd:"" help:"Serve as one order server, set up by RELAY_CONFIG; what the bare program does."`
	Duty   dutyCmd   `cmd:"" help:"See and steer duties that one order server holds at a time."`
	Store  storeCmd  `cmd:"" help:"See the copies of the replicated store, and look into a copy's folder."`
	Config configCmd `cmd:"" help:"Check configuration, and change the records that all order servers follow."`
	Relay  relayCmd  `cmd:"" help:"Pass configuration on from the copies of the store to the order servers of a zone."`
	Lab    labCmd    `cmd:"" help:"Start many processes of the program with faults between them, and check what they did."`
}

type labCmd struct {
	lab.Cmd `embed:""`
	Scale   scale.Cmd       `cmd:"" help:"Configuration at the size of a large fleet, under faults."`
	Fit     fit.Cmd         `cmd:"" help:"Turn the output of benchmarks over several sizes into slopes."`
	Hollow  scale.HollowCmd `cmd:"" hidden:"" help:"Servers without requests; started by the scale run."`
}

type dutyCmd struct {
	List   listCmd   `cmd:"" help:"List the duties and who holds them."`
	Show   showCmd   `cmd:"" help:"Show one duty."`
	Yield  yieldCmd  `cmd:"" help:"Ask the holder of a duty to hand it on."`
	Freeze freezeCmd `cmd:"" help:"Ask the holder to give a duty up, and let nobody have it."`
}

// connectFlags holds the flags of commands that connect to the store's replicas.
type connectFlags struct {
	Operator string `required:"" env:"PUFFINSADDLE_OPERATOR" type:"existingfile" help:"An operator's file that names the copies."`
	JSON     bool   `name:"json" help:"Print JSON."`
}

type (
	listCmd struct{ connectFlags }
	showCmd struct {
		connectFlags
		Name string `arg:"" help:"The duty."`
	}
	yieldCmd struct {
		connectFlags
		Name string `arg:"" help:"The duty."`
	}
	freezeCmd struct {
		connectFlags
		Name string `arg:"" help:"The duty."`
		Off  bool   `help:"Let it be held again."`
	}
	configCmd struct {
		Check  checkCmd        `cmd:"" help:"Read and check files as a start would; nothing is started."`
		Change changeCmd       `cmd:"" help:"Change records, whole or not at all."`
		Status configStatusCmd `cmd:"" help:"Tell what each region uses, and how old that is."`
	}
	checkCmd struct {
		Config   string `env:"RELAY_CONFIG" help:"The platform's file."`
		Operator string `env:"PUFFINSADDLE_OPERATOR" help:"An operator's file."`
	}
)

// runCommand runs a command line and returns the exit status.
func runCommand(args []string, out, errOut io.Writer) int {
	var c commandLine
	status := -1
	p, err := kong.New(&c, kong.Name("puffinsaddle"), kong.Description("An order server in Go."), kong.Writers(out, errOut),
		kong.Exit(func(code int) { status = code }))
	if err != nil {
		fmt.Fprintln(errOut, "puffinsaddle:", err)
		return exitUsage
	}
	k, err := p.Parse(args)
	if status >= 0 {
		return status // help was printed
	}
	if err != nil {
		fmt.Fprintln(errOut, "puffinsaddle:", err)
		return exitUsage
	}
	if k.Command() == "serve" {
		return serve()
	}
	k.BindTo(out, (*io.Writer)(nil))
	err = k.Run()
	var usage *lab.UsageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, lab.ErrInvariantViolated):
		return exitFailure // the report names the invariant
	case errors.As(err, &usage), errors.Is(err, errUsage):
		fmt.Fprintln(errOut, "puffinsaddle:", err)
		return exitUsage
	}
	fmt.Fprintln(errOut, "puffinsaddle:", err)
	return exitFailure
}

// errUsage marks invalid usage and invalid files, for which commands exit with status 2.
var errUsage = errors.New("wrong use")

// withSession opens a session for one command and runs fn on it. It runs fn again on each new connection as long as fn
// returns session.ErrNotExecuted.
func (f connectFlags) withSession(fn func(context.Context, *session.Client, config.Duties) error) error {
	o, err := config.LoadOperator(f.Operator)
	if err != nil {
		return fmt.Errorf("%w: %v", errUsage, err)
	}
	if !o.Duties.Enabled() {
		return fmt.Errorf("%w: %s: duties.copies is missing", errUsage, f.Operator)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		return err
	}
	rules := o.Duties.Rules()
	rules.Duties, rules.PresenceTTLMS = nil, 0 // an operator's session is a candidate for no duty and holds no presence lease
	connected := make(chan struct{}, 1)
	c := session.NewClient(session.Options{ProcessID: "operator#" + hex.EncodeToString(b[:]), ReplicaAddresses: o.Duties.Replicas, Rules: rules,
		Seed: uint64(b[0]), Steady: clock.Monotonic(), Log: zerolog.Nop(), OnEvent: func(e any) {
			if _, ok := e.(session.SessionEstablished); ok {
				select {
				case connected <- struct{}{}:
				default:
				}
			}
		}})
	go c.Run(ctx)
	for {
		select {
		case <-connected: // the leader has answered
		case <-ctx.Done():
			return errors.New("no leader was found among the store's copies")
		}
		if err := fn(ctx, c, o.Duties); !errors.Is(err, session.ErrNotExecuted) {
			return err
		}
	}
}

func (f connectFlags) readDuties(ctx context.Context, c *session.Client) (d session.DutyStatus, err error) {
	err = c.Read(ctx, session.ReadDuties, &d)
	if errors.Is(err, session.ErrUnconfirmed) {
		err = session.ErrNotExecuted // a read may be repeated
	}
	return d, err
}

// dutyRow is a duty in command output.
type dutyRow struct {
	Duty   string  `json:"duty"`
	Holder string  `json:"holder"`
	Epoch  uint64  `json:"epoch"`
	TTL    float64 `json:"ttl_ms"`
	Frozen bool    `json:"frozen"`
	Yield  bool    `json:"asked_to_yield"`
	Marks  uint64  `json:"marks"`
	Fenced uint64  `json:"fenced"`
}

func dutyRows(d session.DutyStatus, settings config.Duties) (all []dutyRow) {
	for _, t := range settings.List {
		r := dutyRow{Duty: t.Name, TTL: t.TTLMS, Frozen: d.Table.Frozen[t.Name], Marks: d.Marks[t.Name], Fenced: d.StaleCommands[t.Name]}
		if l := d.Table.Leases[t.Name]; l != nil {
			r.Holder, r.Epoch, r.Yield = l.Holder, l.Epoch, l.Yield
		}
		all = append(all, r)
	}
	return all
}

func printDuties(out io.Writer, asJSON bool, all []dutyRow, acknowledged map[string]string) error {
	if asJSON {
		return json.NewEncoder(out).Encode(map[string]any{"duties": all, "versions": acknowledged})
	}
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "DUTY\tHOLDER\tEPOCH\tTTL_MS\tSTATE\tFENCED")
	for _, r := range all {
		state := "held"
		switch {
		case r.Frozen && r.Holder == "":
			state = "frozen"
		case r.Yield:
			state = "asked to yield"
		case r.Holder == "":
			state = "nobody holds it"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%.0f\t%s\t%d\n", r.Duty, orDash(r.Holder), r.Epoch, r.TTL, state, r.Fenced)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, who := range slices.Sorted(maps.Keys(acknowledged)) {
		fmt.Fprintf(out, "version at %s: %s\n", who, acknowledged[who])
	}
	return nil
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Run prints all duties and their holders.
func (l *listCmd) Run(out io.Writer) error {
	return l.withSession(func(ctx context.Context, c *session.Client, settings config.Duties) error {
		d, err := l.readDuties(ctx, c)
		if err != nil {
			return err
		}
		return printDuties(out, l.JSON, dutyRows(d, settings), d.Acknowledgements)
	})
}

func checkDutyName(settings config.Duties, name string) error {
	if !settings.Rules().HasDuty(name) {
		return fmt.Errorf("%w: no duty %q on duties.list", errUsage, name)
	}
	return nil
}

// Run prints one duty.
func (s *showCmd) Run(out io.Writer) error {
	return s.withSession(func(ctx context.Context, c *session.Client, settings config.Duties) error {
		if err := checkDutyName(settings, s.Name); err != nil {
			return err
		}
		d, err := s.readDuties(ctx, c)
		if err != nil {
			return err
		}
		all := slices.DeleteFunc(dutyRows(d, settings), func(r dutyRow) bool { return r.Duty != s.Name })
		return printDuties(out, s.JSON, all, nil)
	})
}

func (f connectFlags) requestChange(out io.Writer, op, name, outcome string) error {
	return f.withSession(func(ctx context.Context, c *session.Client, settings config.Duties) error {
		if err := checkDutyName(settings, name); err != nil {
			return err
		}
		if _, err := c.Do(ctx, state.Command{Op: op, Key: name}); err != nil {
			return err
		}
		if f.JSON {
			return json.NewEncoder(out).Encode(map[string]string{"duty": name, "done": outcome})
		}
		_, err := fmt.Fprintf(out, "%s: %s\n", name, outcome)
		return err
	})
}

// Run requests that the holder hand the duty over.
func (y *yieldCmd) Run(out io.Writer) error {
	return y.requestChange(out, state.OpRequestYield, y.Name, "its holder is asked to hand it on")
}

// Run freezes the duty or, with --off, unfreezes it.
func (f *freezeCmd) Run(out io.Writer) error {
	if f.Off {
		return f.requestChange(out, state.OpUnfreezeDuty, f.Name, "may be held again")
	}
	return f.requestChange(out, state.OpFreezeDuty, f.Name, "its holder is asked to give it up, and nobody will get it")
}

// Run checks the given files.
func (c *checkCmd) Run(out io.Writer) error {
	if c.Config == "" && c.Operator == "" {
		return fmt.Errorf("%w: neither --config nor --operator is given", errUsage)
	}
	if c.Config != "" {
		if _, err := config.Load(func(key string) string {
			return map[string]string{"RELAY_CONFIG": c.Config, "PUFFINSADDLE_OPERATOR": c.Operator}[key]
		}); err != nil {
			return fmt.Errorf("%w: %v", errUsage, err)
		}
		fmt.Fprintf(out, "%s: good\n", c.Config)
	}
	if c.Operator != "" {
		o, err := config.LoadOperator(c.Operator)
		if err != nil {
			return fmt.Errorf("%w: %v", errUsage, err)
		}
		if _, err := loadInventory(o); err != nil {
			return fmt.Errorf("%w: %v", errUsage, err)
		}
		fmt.Fprintf(out, "%s: good\n", c.Operator)
	}
	return nil
}
