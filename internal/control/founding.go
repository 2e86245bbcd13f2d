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

// foundingInfo is a voter's answer to a kindFounding call, as JSON under the names of the fields. Birth is the birth ID
// of its disk, and Founding the name of the log that it is part of, or empty if it is not part of one yet.
type foundingInfo struct {
	Birth, Founding string
	Voters          map[string]string // birth IDs of the voters' disks by the log's state, by name
}

// awaitFounding waits until this voter knows which log it is part of, and stores that on its disk. It returns false if
// ctx ends first. A voter with an empty disk may found a log only together with all other voters. If one of them
// already has a log that did not begin with this disk, this voter's disk was lost, and its votes with it. It must not
// vote again until an operator has admitted the new disk (starlingvalve fleet renew).
func (v *voter) awaitFounding(ctx context.Context) bool {
	if v.founding.Log != "" {
		return true
	}
	lastWarning := ""
	warn := func(format string, args ...any) {
		if text := fmt.Sprintf(format, args...); text != lastWarning {
			lastWarning = text
			v.log.Warn("fleet: this voter does not vote yet: " + text)
		}
	}
	for {
		births, missing, founded := map[string]string{v.config.Name: v.birth}, []string{}, map[string]foundingInfo{}
		for _, other := range v.config.Voters {
			if other.Name == v.config.Name {
				continue
			}
			info, err := v.requestFounding(ctx, other)
			if err != nil {
				missing = append(missing, other.Name)
				continue
			}
			births[other.Name] = info.Birth
			if info.Founding != "" {
				founded[other.Name] = info
			}
		}
		founding, conflicting := agree.Founding{Log: logName(births), Voters: births}, ""
		for name, info := range founded {
			if info.Founding != founding.Log {
				conflicting = name
			}
			if info.Voters[v.config.Name] == v.birth && info.Founding != founding.Log { // an operator has admitted this disk
				founding, conflicting, missing = agree.Founding{Log: info.Founding, Voters: info.Voters, Joined: true}, "", nil
				break
			}
		}
		switch {
		case len(missing) > 0:
			warn("its disk is empty, and there is no answer from %s: the first start needs all voters", strings.Join(missing, ", "))
		case conflicting != "":
			warn("its disk is empty, but %s has a log already that did not begin with this disk. If this voter's disk was lost, "+
				"bring the disk back, or admit the voter with its new disk: starlingvalve fleet renew %s", conflicting, v.config.Name)
		default:
			if err := v.disk.SaveFounding(founding); err != nil {
				warn("%v", err)
				break
			}
			v.mu.Lock()
			v.founding = founding
			v.mu.Unlock()
			v.log.Info("fleet: the voters have found each other", "log", founding.Log, "joined", founding.Joined)
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(foundingInterval):
		}
	}
}

// logName returns the name of the log that begins with these disks: a hash of the voters' names and birth IDs.
func logName(births map[string]string) string {
	var list []string
	for name, birth := range births {
		list = append(list, name+"="+birth)
	}
	slices.Sort(list)
	sum := sha256.Sum256([]byte(strings.Join(list, " ")))
	return hex.EncodeToString(sum[:8])
}

// requestFounding requests another voter's foundingInfo.
func (v *voter) requestFounding(ctx context.Context, o Voter) (info foundingInfo, err error) {
	ctx, cancel := context.WithTimeout(ctx, foundingTimeout)
	defer cancel()
	_, raw, err := v.calls.Call(ctx, v.config.fullName(o.Name), o.Address, kindFounding, nil)
	if err == nil {
		err = json.Unmarshal(raw, &info)
	}
	return info, err
}
