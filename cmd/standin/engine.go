package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"magnoliaspoke.example/spoke"
	"magnoliaspoke.example/spoke/fake/model"
)

type (
	engineArgs struct {
		listenArgs
		Models        []modelVersion `arg:"--model,separate" help:"model and loaded version" placeholder:"NAME=VERSION"`
		PrefillRate   float64        `arg:"--prefill-rate" default:"40000" help:"prompt tokens per second of the whole engine"`
		DecodeRate    float64        `arg:"--decode-rate" default:"60" help:"tokens per second of a run that is alone"`
		Slowdown      float64        `arg:"--slowdown" default:"0.02" help:"share of a token's time that each further run adds"`
		MaxBatch      int            `arg:"--max-batch" default:"16" help:"runs in progress at a time"`
		MaxWaiting    int            `arg:"--max-waiting" default:"64" help:"waiting runs before further ones are refused"`
		CacheSize     int64          `arg:"--cache-size" default:"4194304" help:"prefix cache in bytes"`
		BlockSize     int64          `arg:"--block-size" default:"65536" help:"bytes of one cache block"`
		EventDelay    time.Duration  `arg:"--event-delay" default:"200ms" help:"delay of cache events"`
		EventLoss     float64        `arg:"--event-loss" default:"0" help:"share of cache events that is lost"`
		LoadLag       time.Duration  `arg:"--load-lag" default:"200ms" help:"age of load reports"`
		SwapTime      time.Duration  `arg:"--swap-time" default:"300ms" help:"time that loading a version takes"`
		IgnoreFencing bool           `arg:"--ignore-fencing" help:"obey orders with old fencing tokens"`
		Authorization string         `arg:"--authorization" help:"credential that orders must carry"`
		CrashMarker   string         `arg:"--crash-marker" help:"text of a prompt that ends the process"`
		Seed          uint64         `arg:"--seed" default:"1" help:"seed of lost cache events"`
	}

	modelVersion struct {
		name    spoke.ModelName
		version spoke.ModelVersion
	}
)

// UnmarshalText parses NAME=VERSION.
func (m *modelVersion) UnmarshalText(text []byte) error {
	name, version, found := strings.Cut(string(text), "=")
	if !found || name == "" || version == "" {
		return fmt.Errorf("%q is not of the form NAME=VERSION", text)
	}
	m.name, m.version = spoke.ModelName(name), spoke.ModelVersion(version)
	return nil
}

func (a *engineArgs) handler() (http.Handler, func()) {
	opts := []model.Option{
		model.WithPrefillRate(spoke.TokenRate(a.PrefillRate)),
		model.WithDecodeRate(spoke.TokenRate(a.DecodeRate)),
		model.WithSlowdown(a.Slowdown),
		model.WithMaxBatch(a.MaxBatch),
		model.WithMaxWaiting(a.MaxWaiting),
		model.WithCache(spoke.ByteSize(a.CacheSize), spoke.ByteSize(a.BlockSize)),
		model.WithEvents(a.EventDelay, spoke.Share(a.EventLoss), a.Seed),
		model.WithLoadLag(a.LoadLag),
		model.WithSwapTime(a.SwapTime),
	}
	for _, served := range a.Models {
		opts = append(opts, model.WithModel(served.name, served.version))
	}
	opts = append(opts, a.conditionalOptions()...)
	engine := model.New(opts...)
	return engine, engine.Close
}

func (a *engineArgs) conditionalOptions() []model.Option {
	var opts []model.Option
	if a.IgnoreFencing {
		opts = append(opts, model.WithoutFencing())
	}
	if a.Authorization != "" {
		opts = append(opts, model.WithAuthorization(a.Authorization))
	}
	if a.CrashMarker != "" {
		opts = append(opts, model.WithCrash(a.CrashMarker, crash))
	}
	return opts
}
