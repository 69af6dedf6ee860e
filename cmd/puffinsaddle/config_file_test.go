package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"

	"puffinsaddle/internal/clock"
	"puffinsaddle/internal/config"
)

// configFile is the configuration file of a server that a test runs.
type configFile struct {
	t          *testing.T
	path       string
	privateDir string // of the server; empty: none
}

// newConfigFile writes a configuration file in a directory of its own.
func newConfigFile(t *testing.T, privateDir, content string) *configFile {
	t.Helper()
	f := &configFile{t: t, path: filepath.Join(t.TempDir(), "config.json"), privateDir: privateDir}
	f.write(content)
	return f
}

func (f *configFile) write(content string) {
	f.t.Helper()
	if err := os.WriteFile(f.path, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// load reads the file as the command does.
func (f *configFile) load() (*config.Config, error) {
	return config.Load(func(name string) string {
		return map[string]string{"RELAY_CONFIG": f.path, "TMPDIR": f.privateDir}[name]
	})
}

// mustLoad is load for a file that is valid.
func (f *configFile) mustLoad() *config.Config {
	f.t.Helper()
	cfg, err := f.load()
	if err != nil {
		f.t.Fatal(err)
	}
	return cfg
}

// startServer runs a server with the configuration of a file.
func startServer(f *configFile) (logLines, chan receivedSignal, chan error) {
	f.t.Helper()
	cfg := f.mustLoad()
	lines, signals, done := make(logLines, 10000), make(chan receivedSignal), make(chan error, 1)
	go func() { done <- run(cfg, f.load, signals, clock.System(), zerolog.New(lines)) }()
	return lines, signals, done
}
