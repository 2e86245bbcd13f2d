package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"starlingvalve/internal/agree"
)

// foundingWord is what voters tell each other before they hold a log in common.
type foundingWord struct {
	Birth, Founding string
	Voters          map[string]string // the births of their disks, as this voter has them agreed
}

// found makes sure which log this voter is part of. A voter whose disk is empty takes part only if all voters named began with it:
// else its disk was lost, and with it its votes.
func (v *voter) found(ctx context.Context) bool {
	if v.founding.Log != "" {
		return true
	}
	told := ""
	tell := func(format string, args ...any) {
		if text := fmt.Sprintf(format, args...); text != told {
			told = text
			v.log.Warn("fleet: this voter does not vote yet: " + text)
		}
	}
	for {
		births, missing, other := map[string]string{v.c.Name: v.birth}, []string{}, map[string]foundingWord{}
		for _, o := range v.c.Voters {
			if o.Name == v.c.Name {
				continue
			}
			w, err := v.askFounding(ctx, o)
			if err != nil {
				missing = append(missing, o.Name)
				continue
			}
			births[o.Name] = w.Birth
			if w.Founding != "" {
				other[o.Name] = w
			}
		}
		f, clash := agree.Founding{Log: logName(births), Voters: births}, ""
		for name, w := range other {
			if w.Founding != f.Log {
				clash = name
			}
			if w.Voters[v.c.Name] == v.birth && w.Founding != f.Log { // it was taken in since
				f, clash, missing = agree.Founding{Log: w.Founding, Voters: w.Voters, Joined: true}, "", nil
				break
			}
		}
		switch {
		case len(missing) > 0:
			tell("its disk is empty, and not heard are %s: the first start wants all voters", strings.Join(missing, ", "))
		case clash != "":
			tell("its disk is empty, but %s has a log already that did not begin with this disk. If this voter's disk was lost, "+
				"bring the disk back, or have it taken in with its new one: starlingvalve fleet renew %s", clash, v.c.Name)
		default:
			if err := v.disk.Found(f); err != nil {
				tell("%v", err)
				break
			}
			v.mu.Lock()
			v.founding = f
			v.mu.Unlock()
			v.log.Info("fleet: the voters have found each other", "log", f.Log, "joined", f.Joined)
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(foundingEvery):
		}
	}
}

// logName names a log by the births of the disks that it began with.
func logName(births map[string]string) string {
	var list []string
	for name, birth := range births {
		list = append(list, name+"="+birth)
	}
	slices.Sort(list)
	sum := sha256.Sum256([]byte(strings.Join(list, " ")))
	return hex.EncodeToString(sum[:8])
}

func (v *voter) askFounding(ctx context.Context, o Voter) (w foundingWord, err error) {
	ctx, cancel := context.WithTimeout(ctx, foundingWait)
	defer cancel()
	_, raw, err := v.calls.Call(ctx, v.c.full(o.Name), o.Address, kindFounding, nil)
	if err == nil {
		err = json.Unmarshal(raw, &w)
	}
	return w, err
}
