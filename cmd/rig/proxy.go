package main

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"
)

// plainProxy runs the baseline of the measurements: the reverse proxy of the standard library, which sends requests to
// the servers in turn. It keeps practically all idle connections to servers (4,096 each), and has the same garbage
// collector setting as the program. listen is its address, servers the servers' addresses, separated by commas.
func plainProxy(ctx context.Context, listen, servers string) error {
	debug.SetGCPercent(400)
	list := strings.Split(servers, ",")
	var next atomic.Uint64
	p := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(&url.URL{Scheme: "http", Host: list[next.Add(1)%uint64(len(list))]})
		},
		Transport: &http.Transport{MaxIdleConnsPerHost: 4096, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext},
		ErrorLog:  log.New(os.Stderr, "", 0),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/health/ready", func(http.ResponseWriter, *http.Request) {})
	mux.Handle("/", p)
	srv := &http.Server{Addr: listen, Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { srv.Close() })
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// spin keeps a core busy for length, at most a minute.
func spin(ctx context.Context, length time.Duration) error {
	for end := time.Now().Add(min(length, time.Minute)); time.Now().Before(end) && ctx.Err() == nil; {
	}
	return nil
}
