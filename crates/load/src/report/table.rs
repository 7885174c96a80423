//! Tables that compare the values of runs.

use crate::outcome::{
    CallResult, CustomerResult, EngineResult, LatencySummary, LotResult, RefusalCount, RunResult,
};

/// A table with one row per value and one column per run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct FigureTable {
    pub(crate) title: String,
    pub(crate) rows: Vec<FigureRow>,
}

/// One value for each run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct FigureRow {
    pub(crate) name: String,
    pub(crate) values: Vec<String>,
}

/// Extracts a value from a result, or none if the result lacks it.
type Figure<'a, T> = &'a dyn Fn(&T) -> Option<String>;

/// Returns the tables of a page: one for the whole runs, then one per customer.
pub(crate) fn figure_tables(runs: &[&RunResult]) -> Vec<FigureTable> {
    let mut tables = vec![run_table(runs)];
    for name in customer_names(runs) {
        tables.push(customer_table(runs, &name));
    }
    tables
}

/// Returns the names of the customers of all runs without duplicates, in order of
/// first occurrence.
pub(crate) fn customer_names(runs: &[&RunResult]) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for customer in runs.iter().flat_map(|it| &it.customers) {
        if !names.contains(&customer.name) {
            names.push(customer.name.clone());
        }
    }
    names
}

pub(crate) fn customer_of<'a>(run: &'a RunResult, name: &str) -> Option<&'a CustomerResult> {
    run.customers.iter().find(|it| it.name == name)
}

fn run_table(runs: &[&RunResult]) -> FigureTable {
    let mut table = FigureTable {
        title: "Runs".to_owned(),
        rows: Vec::new(),
    };
    let mut add = |name: &str, figure: Figure<'_, RunResult>| {
        table.add(name, runs.iter().map(|it| figure(it)));
    };
    add("seconds", &|it| {
        let note = if it.interrupted { ", interrupted" } else { "" };
        Some(format!("{:.1}{note}", it.seconds))
    });
    add("send delay of the load generator, p99 (ms)", &|it| {
        Some(millis(it.send_delay.p99_ms))
    });
    add("worst customer's TTFT p95 (ms)", &|it| worst_ttft(it));
    add(
        "TTFT p95 relative to the first run, worst customer",
        &|it| worst_ttft_ratio(runs.first()?, it),
    );
    add("wrongful refusals", &|it| {
        let refusals = it.customers.iter().map(|it| it.wrongful_refusals);
        Some(refusals.sum::<u64>().to_string())
    });
    add("lot items per second", &|it| {
        let rates = it.customers.iter().map(|it| it.lots.items_per_second);
        Some(format!("{:.1}", rates.sum::<f64>()))
    });
    add("engines: requests, cancelled, tokens", &|it| {
        let sum = |count: fn(&EngineResult) -> u64| it.engines.iter().map(count).sum::<u64>();
        let (requests, cancelled) = (sum(|it| it.requests), sum(|it| it.cancelled));
        let known = !it.engines.is_empty();
        known.then(|| format!("{requests}, {cancelled}, {}", sum(|it| it.tokens)))
    });
    add(
        "prompts answered more than once, requests with a key",
        &|it| {
            let keys: u64 = it.engines.iter().map(|it| it.keys_seen).sum();
            let known = !it.engines.is_empty();
            known.then(|| format!("{}, {keys}", it.prompts_answered_twice))
        },
    );
    for fault in runs.iter().flat_map(|it| &it.faults) {
        let outcome = fault.error.as_deref().unwrap_or("done");
        let name = format!("fault at {:.1} s: {}", fault.at_s, fault.what);
        add(&name, &|run| {
            run.faults.contains(fault).then(|| outcome.to_owned())
        });
    }
    table
}

/// Formats the highest TTFT p95 of a customer, with its name.
fn worst_ttft(run: &RunResult) -> Option<String> {
    let customers = run.customers.iter().filter(|it| it.live.ttft.count > 0);
    let worst = customers.max_by(|a, b| a.live.ttft.p95_ms.total_cmp(&b.live.ttft.p95_ms))?;
    let latency = millis(worst.live.ttft.p95_ms);
    Some(format!("{latency} ({})", worst.name))
}

/// Formats the highest ratio between the TTFT p95 of a customer in this run and in
/// the first run, which shows the impact of the work that this run adds.
fn worst_ttft_ratio(first: &RunResult, run: &RunResult) -> Option<String> {
    let ratios = run.customers.iter().filter_map(|customer| {
        let before = &customer_of(first, &customer.name)?.live.ttft;
        let after = &customer.live.ttft;
        let both = before.count > 0 && after.count > 0;
        both.then(|| (after.p95_ms / before.p95_ms, &customer.name))
    });
    let worst = ratios.max_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(format!("{:.2}× ({})", worst.0, worst.1))
}

fn customer_table(runs: &[&RunResult], name: &str) -> FigureTable {
    let customers: Vec<Option<&CustomerResult>> =
        runs.iter().map(|it| customer_of(it, name)).collect();
    let mut table = FigureTable {
        title: format!("Customer {name}"),
        rows: Vec::new(),
    };
    let mut add = |name: &str, figure: Figure<'_, CustomerResult>| {
        table.add(name, customers.iter().map(|it| it.and_then(figure)));
    };
    add("rate per second, burst", &|it| {
        Some(format!("{}, {}", it.rate, it.burst))
    });
    add("wrongful refusals", &|it| {
        Some(it.wrongful_refusals.to_string())
    });
    add("clearly wrongful refusals", &|it| {
        Some(it.clearly_wrongful_refusals.to_string())
    });
    add("maximum calls above rate and burst", &|it| {
        Some(format!("{:.1}", it.overshoot))
    });
    table.add_calls("live", &customers, |it| &it.live);
    table.add_calls("plain", &customers, |it| &it.plain);
    table.add_lots(&customers);
    table
}

impl FigureTable {
    /// Adds a row, unless no run has the value.
    fn add(&mut self, name: &str, values: impl Iterator<Item = Option<String>>) {
        let values: Vec<Option<String>> = values.collect();
        if values.iter().all(Option::is_none) {
            return;
        }
        let text = |it: Option<String>| it.unwrap_or_else(|| "–".to_owned());
        self.rows.push(FigureRow {
            name: name.to_owned(),
            values: values.into_iter().map(text).collect(),
        });
    }

    fn add_calls(
        &mut self,
        kind: &str,
        customers: &[Option<&CustomerResult>],
        calls: impl Fn(&CustomerResult) -> &CallResult,
    ) {
        let mut add = |name: &str, figure: Figure<'_, CallResult>| {
            let values = customers.iter().map(|it| {
                let calls = it.map(&calls).filter(|it| it.sent > 0)?;
                figure(calls)
            });
            self.add(&format!("{kind}: {name}"), values);
        };
        add("sent", &|it| Some(it.sent.to_string()));
        add("done", &|it| Some(it.done.to_string()));
        add("refused", &|it| Some(refusal_text(&it.refusals)));
        add("cut off, no response", &|it| {
            Some(format!("{}, {}", it.cut, it.no_answer))
        });
        add("wrong response, wrong length", &|it| {
            Some(format!("{}, {}", it.wrong_answers, it.wrong_lengths))
        });
        add("TTFT p50 / p95 / p99 (ms)", &|it| latency_text(&it.ttft));
        add("between tokens p50 / p95 / p99 (ms)", &|it| {
            latency_text(&it.inter_token)
        });
        add("duration p50 / p95 / p99 (ms)", &|it| {
            latency_text(&it.duration)
        });
    }

    fn add_lots(&mut self, customers: &[Option<&CustomerResult>]) {
        let mut add = |name: &str, figure: Figure<'_, LotResult>| {
            let values = customers.iter().map(|it| {
                let lots = it.map(|it| &it.lots).filter(|it| it.sent > 0)?;
                figure(lots)
            });
            self.add(&format!("lots: {name}"), values);
        };
        add("sent", &|it| Some(it.sent.to_string()));
        add("jobs acknowledged, refused, no response", &|it| {
            Some(format!(
                "{}, {}, {}",
                it.acknowledged, it.refused, it.no_answer
            ))
        });
        add("refused because", &|it| {
            (!it.refusals.is_empty()).then(|| refusal_text(&it.refusals))
        });
        add("ended, on time, unfinished", &|it| {
            Some(format!("{}, {}, {}", it.ended, it.on_time, it.unfinished))
        });
        add("resent jobs that created a second lot", &|it| {
            Some(it.doubled.to_string())
        });
        add("items, done, failed", &|it| {
            Some(format!(
                "{}, {}, {}",
                it.items, it.items_done, it.items_failed
            ))
        });
        add("items missing, repeated, wrong", &|it| {
            let (missing, repeated) = (it.items_missing, it.items_repeated);
            Some(format!("{missing}, {repeated}, {}", it.items_wrong))
        });
        add("items per second", &|it| {
            Some(format!("{:.1}", it.items_per_second))
        });
        add("time to acknowledgement p50 / p95 / p99 (ms)", &|it| {
            latency_text(&it.acknowledgement)
        });
        add("time to final state p50 / p95 / p99 (ms)", &|it| {
            latency_text(&it.duration)
        });
    }
}

fn refusal_text(refusals: &[RefusalCount]) -> String {
    let reasons = refusals.iter().map(|it| {
        let retry = if it.retry_after {
            ""
        } else {
            ", no Retry-After"
        };
        format!(
            "{}× {} {} (ran: {}{retry})",
            it.count, it.status, it.code, it.ran
        )
    });
    let reasons: Vec<String> = reasons.collect();
    match reasons.is_empty() {
        true => "0".to_owned(),
        false => reasons.join("; "),
    }
}

fn latency_text(latency: &LatencySummary) -> Option<String> {
    let figures = [latency.p50_ms, latency.p95_ms, latency.p99_ms].map(millis);
    (latency.count > 0).then(|| figures.join(" / "))
}

fn millis(millis: f64) -> String {
    if millis < 10.0 {
        format!("{millis:.2}")
    } else {
        format!("{millis:.0}")
    }
}
