//! The reference trace of the goals in the tests.

use std::time::Duration;

use comfreyramp_load::trace::{
    BurstMix, CustomerMix, LiveMix, LotMix, SizeRange, TraceFile, TraceMix, generate_trace,
};

/// Returns a mix of two customers with interactive requests in bursts and three
/// customers with lots: two with long lots and one with lots of 20 items.
pub fn reference_mix(span: Duration) -> TraceMix {
    TraceMix {
        span,
        customers: vec![
            live_customer("studio", 4.0, 3.0),
            live_customer("market", 3.0, 4.0),
            lot_customer("booklets", span, SizeRange::new(4000, 6000)),
            lot_customer("reports", span, SizeRange::new(4000, 6000)),
            small_lot_customer(span),
        ],
        faults: Vec::new(),
    }
}

/// Generates the reference trace with a seed.
pub fn reference_trace(span: Duration, seed: u64) -> TraceFile {
    generate_trace(&reference_mix(span), seed)
}

fn live_customer(name: &str, rate: f64, factor: f64) -> CustomerMix {
    CustomerMix {
        name: name.to_owned(),
        rate: 200.0,
        burst: 400,
        live: Some(LiveMix {
            rate,
            bursts: Some(BurstMix {
                every: Duration::from_secs(20),
                span: Duration::from_secs(4),
                factor,
            }),
            overdrive: None,
            prompt_tokens: SizeRange::new(50, 300),
            max_tokens: SizeRange::new(40, 160),
            prefixes: 4,
            prefix_tokens: 256,
            stream_share: 1.0,
            marker: None,
        }),
        ..CustomerMix::default()
    }
}

fn lot_customer(name: &str, span: Duration, items: SizeRange) -> CustomerMix {
    CustomerMix {
        name: name.to_owned(),
        rate: 10.0,
        burst: 100,
        lots: Some(LotMix {
            first: Duration::from_millis(100),
            every: span / 4,
            items,
            prompt_tokens: SizeRange::new(150, 250),
            max_tokens: SizeRange::new(150, 250),
            due: Duration::from_secs(24 * 3600),
            resent_share: 0.3,
            resent_after: Duration::from_secs(5),
            marker: None,
        }),
        ..CustomerMix::default()
    }
}

fn small_lot_customer(span: Duration) -> CustomerMix {
    let mut customer = lot_customer("small", span, SizeRange::new(20, 20));
    if let Some(lots) = &mut customer.lots {
        lots.first = span / 10;
        lots.every = span / 10;
        lots.due = Duration::from_secs(60);
    }
    customer
}
