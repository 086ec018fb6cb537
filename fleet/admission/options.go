package admission

type options struct {
	limit, factor, step, floor float64
}

// Option configures a Controller.
type Option func(*options)

func defaultOptions() options { return options{limit: 0.2, factor: 0.85, step: 0.03, floor: 0.05} }

// WithLimit sets the share of rejections among the answers above which flows are held
// back. The default is 0.2.
func WithLimit(limit float64) Option { return func(o *options) { o.limit = limit } }

// WithFactor sets the factor by which an admitted share decreases every 250 ms. The
// default is 0.85. With 1 all requests are admitted.
func WithFactor(factor float64) Option { return func(o *options) { o.factor = factor } }

// WithStep sets the amount by which an admitted share increases every 250 ms. The
// default is 0.03.
func WithStep(step float64) Option { return func(o *options) { o.step = step } }

// WithFloor sets the smallest admitted share, which keeps low priorities from
// starving. The default is 0.05.
func WithFloor(floor float64) Option { return func(o *options) { o.floor = floor } }
