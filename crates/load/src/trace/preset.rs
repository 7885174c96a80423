//! Predefined workload mixes.

use std::time::Duration;

use super::{
    event::{FaultAction, FaultEvent, FaultTarget},
    mix::{
        BurstMix, CustomerMix, FaultMix, LiveMix, LotMix, OverdriveMix, PlainMix, SizeRange,
        TraceMix,
    },
};

/// The names that [`preset_mix`] accepts.
pub const PRESET_NAMES: [&str; 5] = ["live", "mixed", "overdrive", "daemon-loss", "engine-loss"];

/// Returns a predefined mix of two customers by its name, or none if the name is
/// unknown. Requests arrive during `span`.
///
/// - `live`: live requests in bursts, without lots; the baseline for the others.
/// - `mixed`: the same live requests and plain calls, with additional lots, some
///   of which are submitted twice.
/// - `overdrive`: one customer sends at five times its rate limit for a while.
/// - `daemon-loss`: `mixed`, and the last of two daemons is killed halfway.
/// - `engine-loss`: `mixed`, and an engine is killed halfway.
pub fn preset_mix(name: &str, span: Duration) -> Option<TraceMix> {
    let customers = match name {
        "live" => vec![
            live_customer(),
            CustomerMix {
                lots: None,
                ..lot_customer(span)
            },
        ],
        "overdrive" => vec![live_customer(), overdriven_customer(span)],
        "mixed" | "daemon-loss" | "engine-loss" => vec![live_customer(), lot_customer(span)],
        _ => return None,
    };
    let target = match name {
        "daemon-loss" => Some(FaultTarget::Daemon(1)),
        "engine-loss" => Some(FaultTarget::Engine(1)),
        _ => None,
    };
    let faults = target.into_iter().map(|target| FaultMix {
        at: span / 2,
        fault: FaultEvent {
            target,
            action: FaultAction::Kill,
        },
    });
    Some(TraceMix {
        span,
        customers,
        faults: faults.collect(),
    })
}

fn live_mix(rate: f64) -> LiveMix {
    LiveMix {
        rate,
        bursts: Some(BurstMix {
            every: Duration::from_secs(10),
            span: Duration::from_secs(2),
            factor: 4.0,
        }),
        overdrive: None,
        prompt_tokens: SizeRange::new(20, 200),
        max_tokens: SizeRange::new(8, 48),
        prefixes: 4,
        prefix_tokens: 200,
        stream_share: 0.9,
        marker: None,
    }
}

/// A customer that stays well within its rate limit, with interactive requests and
/// plain calls.
fn live_customer() -> CustomerMix {
    CustomerMix {
        name: "first".to_owned(),
        rate: 200.0,
        burst: 400,
        live: Some(live_mix(4.0)),
        plain: Some(PlainMix {
            rate: 2.0,
            body_bytes: SizeRange::new(10, 10_000),
            once_share: 0.2,
        }),
        lots: None,
    }
}

/// A customer with some live requests and with lots.
fn lot_customer(span: Duration) -> CustomerMix {
    CustomerMix {
        name: "second".to_owned(),
        rate: 200.0,
        burst: 400,
        live: Some(LiveMix {
            bursts: None,
            ..live_mix(2.0)
        }),
        plain: None,
        lots: Some(LotMix {
            first: Duration::from_secs(1),
            every: Duration::from_secs(10),
            items: SizeRange::new(100, 300),
            prompt_tokens: SizeRange::new(50, 200),
            max_tokens: SizeRange::new(16, 64),
            due: span.max(Duration::from_secs(30)),
            resent_share: 0.3,
            resent_after: Duration::from_secs(3),
            marker: None,
        }),
    }
}

/// A customer that sends at five times its rate limit in the middle third.
fn overdriven_customer(span: Duration) -> CustomerMix {
    let rate = 10.0;
    CustomerMix {
        name: "second".to_owned(),
        rate,
        burst: 20,
        live: Some(LiveMix {
            bursts: None,
            overdrive: Some(OverdriveMix {
                from: span / 3,
                span: span / 3,
                factor: 10.0,
            }),
            ..live_mix(rate / 2.0)
        }),
        plain: None,
        lots: None,
    }
}
