//! The simulated zone and the policies that limit bulk work.

use std::time::Duration;

use comfreyramp_policy::bulk::BulkLimiterTiming;
use comfreyramp_standins::engine::EngineSettings;

/// The configuration of the simulated zone.
#[derive(Clone, Debug)]
pub struct ZonePlan {
    /// The number of daemons that share the live requests.
    pub daemons: usize,
    /// The number of engines.
    pub servers: usize,
    /// The batch size and the speed of each engine.
    pub engine: EngineSettings,
    /// The network latency between two VMs.
    pub network_latency: Duration,
    /// Whether daemons report live requests to the server's home daemon, and home
    /// daemons report their bulk work to the other daemons.
    pub reports_exchanged: bool,
    /// The interval at which a home daemon polls the load of its servers.
    pub poll_interval: Duration,
    /// The interval at which a home daemon updates its bulk limiters.
    pub tick_interval: Duration,
    /// The timing of the bulk limiters.
    pub limiter_timing: BulkLimiterTiming,
    /// A live request whose first token takes longer counts as a latency
    /// violation, which makes adaptive limits shrink.
    pub max_first_token_time: Duration,
    /// The seed of the daemons' random choices.
    pub seed: u64,
}

impl Default for ZonePlan {
    fn default() -> Self {
        ZonePlan {
            daemons: 3,
            servers: 4,
            engine: EngineSettings::default(),
            network_latency: Duration::from_micros(300),
            reports_exchanged: true,
            poll_interval: Duration::from_millis(100),
            tick_interval: Duration::from_millis(10),
            limiter_timing: BulkLimiterTiming::default(),
            max_first_token_time: Duration::from_millis(250),
            seed: 1,
        }
    }
}

/// A policy that limits bulk work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BulkPolicy {
    /// No bulk work: the baseline for the latency of live requests.
    NoLots,
    /// All items are sent to the engines at once.
    AllAtOnce,
    /// Bulk items start while the batch has capacity, and are never cancelled.
    LiveFirst,
    /// At most this number of bulk items run on a server.
    FixedCap(u32),
    /// A bulk limiter without feedback from latencies.
    Limiter,
    /// A bulk limiter whose limit halves on a latency violation and grows by this
    /// number of slots per second.
    LimiterAdditive(f64),
    /// A bulk limiter whose limit drops on a latency violation and rises slowly,
    /// once per interval.
    LimiterChokeCreep(Duration),
    /// No bulk limiter, only a limit that halves on a latency violation and grows
    /// by this number of slots per second.
    Additive(f64),
    /// No bulk limiter, only a limit that drops on a latency violation and rises
    /// slowly, once per interval.
    ChokeCreep(Duration),
}
