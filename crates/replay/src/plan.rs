//! How a zone is made, and what holds its bulk work back.

use std::time::Duration;

use comfreyramp_policy::bulk::BulkLimiterTiming;
use comfreyramp_standins::engine::EngineSettings;

/// How a zone is made.
#[derive(Clone, Debug)]
pub struct ZonePlan {
    /// How many daemons share the live work.
    pub daemons: usize,
    /// How many engines there are.
    pub servers: usize,
    /// The size and speed of each.
    pub engine: EngineSettings,
    /// The time a message takes from one VM to another.
    pub hop: Duration,
    /// Whether daemons tell a server's home of the live requests they send it,
    /// and homes tell the others of their bulk work.
    pub announced: bool,
    /// How often a home daemon asks its servers for their load.
    pub poll: Duration,
    /// How often a home daemon looks at its gates.
    pub tick: Duration,
    /// The timing of the gates.
    pub gate: BulkLimiterTiming,
    /// A first token later than this hurts a live caller.
    pub late_first_token: Duration,
    /// The seed of the daemons' own choices.
    pub seed: u64,
}

impl Default for ZonePlan {
    fn default() -> Self {
        ZonePlan {
            daemons: 3,
            servers: 4,
            engine: EngineSettings::default(),
            hop: Duration::from_micros(300),
            announced: true,
            poll: Duration::from_millis(100),
            tick: Duration::from_millis(10),
            gate: BulkLimiterTiming::default(),
            late_first_token: Duration::from_millis(250),
            seed: 1,
        }
    }
}

/// What holds bulk work back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BulkPolicy {
    /// There is no bulk work: what live callers would see by themselves.
    NoLots,
    /// Everything is sent to the engines at once.
    Everything,
    /// Bulk items start where the batch has room, and are never cancelled.
    LiveFirst,
    /// At most so many bulk items run on a server.
    FixedCap(u32),
    /// A gate without feedback.
    Gate,
    /// A gate whose limit halves on harm and grows by so many slots a second.
    GateAdditive(f64),
    /// A gate whose limit is choked on harm and creeps up each interval.
    GateChokeCreep(Duration),
    /// No gate, only a limit that halves on harm and grows by so many slots a
    /// second.
    Additive(f64),
    /// No gate, only a limit that is choked on harm and creeps up each
    /// interval.
    ChokeCreep(Duration),
}
