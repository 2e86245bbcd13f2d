package app

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A valid configuration is loaded, variables override the file except for discovery's address at a reload, and each
// invalid one is an error of one line.
func TestConfig(t *testing.T) {
	t.Parallel()
	const good = `{"name":"n0","listen":"127.0.0.1:80","discovery":"127.0.0.1:81","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"peer_listen":"127.0.0.1:82","peers":["127.0.0.1:82"],"peers_all":"127.0.0.1:83","known":{"version":4,"full":true,"servers":[]},
		"settings":{"balancers":3,"caps":{"connect_timeout_ns":250000000},"classes":[{"name":"c","effect":"fragile"}]}}`
	load := func(text string, more map[string]string) (*Config, error) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadConfig(func(name string) string {
			if name == "GW_CONFIG" {
				return path
			}
			return more[name]
		}, "")
	}
	config, err := load(good, map[string]string{"GW_LISTEN": "127.0.0.1:99"})
	if err != nil || config.Listen.Port() != 99 || config.Known.Version != 4 || config.Settings.Nodes != 3 ||
		uint64(config.Seed) != 0x8c1f30d27a5be964 {
		t.Errorf("%+v, %v", config, err)
	}
	for _, bad := range [][2]string{{`{"name"`, `{"nam`}, {`"n0"`, `""`}, {`"127.0.0.1:80"`, `"x"`},
		{`"127.0.0.1:81"`, `""`}, {`8c1f`, `xyz`},
		{`1024`, `3`}, {`192`, `-1`}, {`"peers":["127`, `"peers":["x`}, {`"full":true`, `"full":3`}, {`"fragile"`, `"odd"`},
		{`250000000`, `0`}, {`"settings"`, `"other"`}} {
		if _, err := load(strings.Replace(good, bad[0], bad[1], 1), nil); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: error %v", bad[1], bad[0], err)
		}
	}
	config, err = load(good, map[string]string{"GW_DISCOVERY": "127.0.0.1:98"})
	if err != nil || config.Discovery.Port() != 98 {
		t.Errorf("%+v, %v", config, err)
	}
	if config, err = config.reread(); err != nil || config.Discovery.Port() != 81 {
		t.Errorf("after a reload: %+v, %v; want the address in the file", config, err)
	}
	if _, err := LoadConfig(func(string) string { return "" }, ""); err == nil {
		t.Error("no error without GW_CONFIG")
	}
}
