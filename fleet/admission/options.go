package admission

type options struct {
	limit, gain, step, floor float64
}

// Option configures a Controller.
type Option func(*options)

func defaultOptions() options { return options{limit: 0.25, gain: 1.5, step: 0.05, floor: 0.05} }

// WithLimit sets the share of rejections among the answers above which flows are held
// back. The default is 0.25.
func WithLimit(limit float64) Option { return func(o *options) { o.limit = limit } }

// WithGain sets the part of an admitted share that is taken away every 100 ms for each
// unit by which the pressure is above the limit. The default is 1.5. With 0 all
// requests are admitted.
func WithGain(gain float64) Option { return func(o *options) { o.gain = gain } }

// WithStep sets the amount by which an admitted share increases every 100 ms without
// any pressure. The default is 0.05.
func WithStep(step float64) Option { return func(o *options) { o.step = step } }

// WithFloor sets the smallest admitted share, which keeps low priorities from
// starving. The default is 0.05.
func WithFloor(floor float64) Option { return func(o *options) { o.floor = floor } }
