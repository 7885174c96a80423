//! What was shown of each lot, and whether what is shown next agrees with it.

use std::time::{Duration, Instant};

use comfreyramp_http::{Bytes, Response, StatusCode};
use serde_json::Value;

use crate::{
    ENTRIES,
    fleet::whole_output,
    harm_log::{Harm, HarmLog},
};

/// What one caller was told, each later one is told after so long, at any daemon. A
/// daemon that can't be sure has them come back. It owes no more for having just been
/// lost, started or cut off, so that there is no exception for these.
pub(crate) const SETTLE: Duration = Duration::from_millis(1_000);
/// A result that somebody was shown.
#[derive(Debug)]
struct ShownResult {
    result: Value,
    first: Instant,
    /// When each daemon first showed it.
    by: [Option<Instant>; ENTRIES],
}

/// A lot that was accepted.
#[derive(Debug)]
pub(crate) struct LotRecord {
    pub(crate) id: String,
    /// What its items have as bodies.
    pub(crate) bodies: Vec<String>,
    accepted: Instant,
    /// When its customer first asked for its end.
    pub(crate) end_asked: Option<Instant>,
    /// When its end was acknowledged.
    pub(crate) end_told: Option<Instant>,
    shown: Vec<Option<ShownResult>>,
}

/// A read of a lot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LotRead<'a> {
    pub(crate) lot: &'a str,
    pub(crate) node: usize,
    pub(crate) after: usize,
    /// What was true a while before this must be in the answer.
    pub(crate) sent: Instant,
    pub(crate) answered: Instant,
}

/// What was shown of each lot, and where that broke a promise.
#[derive(Debug, Default)]
pub(crate) struct LotLedger {
    pub(crate) lots: Vec<LotRecord>,
    /// Lots that were refused at each try.
    pub(crate) refused: Vec<String>,
    pub(crate) broken: Vec<String>,
    /// How many answers there were, for the test's output.
    pub(crate) counts: AnswerCounts,
}

/// How many answers readers had.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerCounts {
    pages: usize,
    empty_pages: usize,
    come_back: usize,
    pub(crate) bodies: usize,
}

impl LotLedger {
    pub(crate) fn accept(&mut self, id: &str, bodies: &[String], now: Instant) {
        self.lots.push(LotRecord {
            id: id.to_owned(),
            bodies: bodies.to_vec(),
            accepted: now,
            end_asked: None,
            end_told: None,
            shown: bodies.iter().map(|_| None).collect(),
        });
    }

    pub(crate) fn lot(&mut self, id: &str) -> &mut LotRecord {
        self.lots.iter_mut().find(|it| it.id == id).unwrap()
    }

    /// Holds an answer against all that was shown before.
    pub(crate) fn take(&mut self, read: LotRead<'_>, answer: &Response<Bytes>, harms: &HarmLog) {
        let record = self.lot(read.lot);
        let broken = match answer.status() {
            StatusCode::OK => record.take_page(read, answer.body(), harms),
            StatusCode::NOT_FOUND => record.denied(read.sent),
            // Come back later.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Ok(0),
            status => Err(format!("answers {status}")),
        };
        self.counts.note(answer.status(), &broken);
        if let Err(text) = broken {
            self.break_promise(read, &text);
        }
    }

    pub(crate) fn break_promise(&mut self, read: LotRead<'_>, text: &str) {
        let text = format!("{read:?}: {text}");
        eprintln!("soak: broken: {text}");
        self.broken.push(text);
    }
}

impl AnswerCounts {
    fn note(&mut self, status: StatusCode, taken: &Result<usize, String>) {
        match (status, taken) {
            (StatusCode::OK, Ok(0)) => self.empty_pages += 1,
            (StatusCode::OK, _) => self.pages += 1,
            _ => self.come_back += 1,
        }
    }
}

impl LotRecord {
    /// How many positions were shown to anybody.
    pub(crate) fn known(&self) -> usize {
        self.shown.iter().filter(|it| it.is_some()).count()
    }

    /// Whether anybody was shown the result of an item.
    pub(crate) fn is_listed(&self, item: &str) -> bool {
        let shown = self.shown.iter().flatten();
        shown.into_iter().any(|it| it.result["id"] == item)
    }

    /// Whether the lot must be known by a request of this moment.
    pub(crate) fn is_settled(&self, sent: Instant) -> bool {
        sent >= self.accepted + SETTLE
    }

    fn has_item(&self, item: &str) -> bool {
        let number = item
            .strip_prefix(&self.id)
            .and_then(|it| it.strip_prefix('-'));
        let number = number.and_then(|it| it.parse::<usize>().ok());
        number.is_some_and(|it| it < self.bodies.len())
    }

    /// No such lot, says a daemon.
    fn denied(&self, sent: Instant) -> Result<usize, String> {
        match self.is_settled(sent) {
            true => Err("an accepted lot is denied".to_owned()),
            false => Ok(0),
        }
    }

    /// Takes a page in and returns how many results it has.
    fn take_page(
        &mut self,
        read: LotRead<'_>,
        body: &[u8],
        harms: &HarmLog,
    ) -> Result<usize, String> {
        let page: Value = serde_json::from_slice(body).map_err(|it| it.to_string())?;
        let results = page["results"].as_array().ok_or("no results")?;
        let is_sound = page["total"] == self.bodies.len()
            && page["next"] == read.after + results.len()
            && read.after + results.len() <= self.bodies.len();
        if !is_sound {
            return Err(format!("a wrong page: {page}"));
        }
        if results.is_empty() {
            self.check_nothing_there(read, harms)?;
        }
        for (place, result) in results.iter().enumerate() {
            self.take_result(read, read.after + place, result)?;
        }
        Ok(results.len())
    }

    /// There is nothing at a position. That is wrong where it was shown before: by
    /// anybody a while ago, or by this daemon at any time in the same life.
    fn check_nothing_there(&self, read: LotRead<'_>, harms: &HarmLog) -> Result<(), String> {
        let Some(shown) = self.shown.get(read.after).and_then(Option::as_ref) else {
            return Ok(());
        };
        let ago = read.sent.saturating_duration_since(shown.first);
        if ago >= SETTLE {
            return Err(format!(
                "a result is missing that was shown {ago:?} before: {shown:?}"
            ));
        }
        let own = shown.by[read.node].filter(|it| *it < read.sent);
        if own.is_some_and(|it| !harms.was_harmed(Harm::Down(read.node), it, read.answered)) {
            return Err(format!(
                "a daemon goes back behind what it showed: {shown:?}"
            ));
        }
        Ok(())
    }

    fn take_result(
        &mut self,
        read: LotRead<'_>,
        place: usize,
        result: &Value,
    ) -> Result<(), String> {
        let id = result["id"].as_str().unwrap_or_default();
        let is_whole = result["state"] == "done" && result["output"] == whole_output();
        let is_given_up = result["state"] == "dead_letter" && self.end_asked.is_some();
        if !self.has_item(id) || !(is_whole || is_given_up) {
            return Err(format!("a wrong result at {place}: {result}"));
        }
        let others = self.shown.iter().enumerate();
        let mut others = others
            .filter(|it| it.0 != place)
            .filter_map(|it| it.1.as_ref());
        if others.any(|it| it.result["id"] == result["id"]) {
            return Err(format!("a second result of {id} at {place}"));
        }
        let shown = self.shown[place].get_or_insert_with(|| ShownResult {
            result: result.clone(),
            first: read.answered,
            by: [None; ENTRIES],
        });
        if shown.result != *result {
            return Err(format!(
                "another result at {place}: {result}, was {shown:?}"
            ));
        }
        shown.first = shown.first.min(read.answered);
        shown.by[read.node].get_or_insert(read.answered);
        Ok(())
    }
}
