//! Generation of traces from a workload mix and a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    arrivals::{RatePeriod, arrival_times, burst_periods},
    event::{EventKind, LiveEvent, LotEvent, PlainEvent, TraceEvent},
    file::{TraceCustomer, TraceFile},
    mix::{CustomerMix, LiveMix, LotMix, MarkerMix, PlainMix, TraceMix},
};

/// A kind of work of a customer, which selects its random number generator.
#[derive(Clone, Copy)]
enum WorkKind {
    Live = 1,
    Plain = 2,
    Lots = 3,
}

/// Generates a trace. The same mix and seed give the same trace.
///
/// Each kind of work of each customer has a separate random number generator, so
/// that changing one of them leaves the others unchanged.
pub fn generate_trace(mix: &TraceMix, seed: u64) -> TraceFile {
    let mut trace = TraceFile::default();
    for (index, customer) in mix.customers.iter().enumerate() {
        trace.customers.push(TraceCustomer {
            name: customer.name.clone(),
            rate: customer.rate,
            burst: customer.burst,
        });
        let generator = CustomerGenerator {
            index: index as u32,
            span: mix.span,
            seed,
        };
        generator.generate(customer, &mut trace.events);
    }
    let faults = mix.faults.iter().map(|it| TraceEvent {
        at: it.at,
        kind: EventKind::Fault(it.fault.clone()),
    });
    trace.events.extend(faults);
    trace.events.sort_by_key(|it| it.at);
    trace
}

struct CustomerGenerator {
    index: u32,
    span: Duration,
    seed: u64,
}

impl CustomerGenerator {
    fn generate(&self, mix: &CustomerMix, events: &mut Vec<TraceEvent>) {
        if let Some(live) = &mix.live {
            self.live(live, events);
        }
        if let Some(plain) = &mix.plain {
            self.plain(plain, events);
        }
        if let Some(lots) = &mix.lots {
            self.lots(lots, &mix.name, events);
        }
    }

    fn random(&self, kind_of_work: WorkKind) -> StdRng {
        let mut bytes = [0; 32];
        bytes[..8].copy_from_slice(&self.seed.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.index.to_le_bytes());
        bytes[12] = kind_of_work as u8;
        StdRng::from_seed(bytes)
    }

    fn live(&self, mix: &LiveMix, events: &mut Vec<TraceEvent>) {
        let mut random = self.random(WorkKind::Live);
        let mut periods: Vec<RatePeriod> =
            mix.overdrive.into_iter().map(RatePeriod::from).collect();
        if let Some(bursts) = mix.bursts {
            periods.extend(burst_periods(bursts, self.span, &mut random));
        }
        for at in arrival_times(mix.rate, &periods, self.span, &mut random) {
            let live = LiveEvent {
                customer: self.index,
                text: random.random(),
                prefix: random.random_range(0..mix.prefixes.max(1)),
                prefix_tokens: mix.prefix_tokens,
                prompt_tokens: mix.prompt_tokens.draw(&mut random),
                max_tokens: mix.max_tokens.draw(&mut random),
                stream: random.random_bool(mix.stream_share),
                marker: draw_marker(mix.marker.as_ref(), &mut random),
            };
            let marked = live.marker.is_some();
            let marker = mix.marker.as_ref().filter(|_| marked);
            let resends = marker.map_or(0, |it| it.resends);
            let resend_delay = marker.map_or(Duration::ZERO, |it| it.resend_after);
            let times = (0..=resends).map(|it| at + resend_delay * it);
            events.extend(times.map(|at| TraceEvent {
                at,
                kind: EventKind::Live(live.clone()),
            }));
        }
    }

    fn plain(&self, mix: &PlainMix, events: &mut Vec<TraceEvent>) {
        let mut random = self.random(WorkKind::Plain);
        for at in arrival_times(mix.rate, &[], self.span, &mut random) {
            let plain = PlainEvent {
                customer: self.index,
                text: random.random(),
                body_bytes: mix.body_bytes.draw(&mut random),
                once: random.random_bool(mix.once_share),
            };
            let kind = EventKind::Plain(plain);
            events.push(TraceEvent { at, kind });
        }
    }

    fn lots(&self, mix: &LotMix, name: &str, events: &mut Vec<TraceEvent>) {
        let mut random = self.random(WorkKind::Lots);
        let mut at = mix.first;
        while at < self.span {
            let lot = self.lot(mix, name, &mut random);
            if random.random_bool(mix.resent_share) {
                let resent = LotEvent {
                    resent: true,
                    ..lot.clone()
                };
                events.push(TraceEvent {
                    at: at + mix.resent_after,
                    kind: EventKind::Lot(resent),
                });
            }
            let kind = EventKind::Lot(lot);
            events.push(TraceEvent { at, kind });
            at += mix.every;
        }
    }

    fn lot(&self, mix: &LotMix, name: &str, random: &mut StdRng) -> LotEvent {
        let items = mix.items.draw(random);
        let marked = |it: &MarkerMix| (it.share * f64::from(items)).round() as u32;
        LotEvent {
            customer: self.index,
            job: format!("{name}-{:016x}", random.random::<u64>()),
            items,
            prompt_tokens: mix.prompt_tokens.draw(random),
            max_tokens: mix.max_tokens.draw(random),
            due: mix.due,
            marked_items: mix.marker.as_ref().map_or(0, marked),
            marker: mix.marker.as_ref().map(|it| it.text.clone()),
            resent: false,
        }
    }
}

fn draw_marker(mix: Option<&MarkerMix>, random: &mut StdRng) -> Option<String> {
    let mix = mix?;
    random.random_bool(mix.share).then(|| mix.text.clone())
}
