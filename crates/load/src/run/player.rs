//! Plays the events of a trace at their times.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval, sleep_until},
};
use tokio_util::sync::CancellationToken;

use crate::{
    outcome::{CallOutcome, FaultResult, LotOutcome, LotProgress, OutcomeCollector, RunResult},
    trace::{EventKind, TraceEvent, TraceFile},
};

use super::{
    call_sender::CallSender, engine_logs::EngineLogs, faults::run_fault, live::run_live,
    lot::run_lot, plain::run_plain, progress::RunProgress, targets::RunTargets,
};

/// Options for playing a trace.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The run's name in a report.
    pub label: String,
    /// The timeout of one call.
    pub timeout: Duration,
    /// How long a lot is still polled after its deadline.
    pub lot_grace: Duration,
    /// The interval at which the state of a lot is polled.
    pub poll_interval: Duration,
    /// Whether responses must be those of the engine stand-in.
    pub check_answers: bool,
    /// Whether to print no progress.
    pub quiet: bool,
}

impl Default for RunOptions {
    fn default() -> Self {
        RunOptions {
            label: "run".to_owned(),
            timeout: Duration::from_secs(120),
            lot_grace: Duration::from_secs(30),
            poll_interval: Duration::from_millis(500),
            check_answers: true,
            quiet: false,
        }
    }
}

/// A message from a task of the run to the collector.
#[derive(Debug)]
pub(crate) enum RunMessage {
    Call(CallOutcome),
    Lot(LotOutcome),
    Progress(LotProgress),
    Fault(FaultResult),
}

/// The state that all tasks of a run share.
#[derive(Debug)]
pub(crate) struct RunContext {
    pub(crate) sender: CallSender,
    pub(crate) options: RunOptions,
    start: Instant,
    stop: CancellationToken,
    messages: mpsc::UnboundedSender<RunMessage>,
    open: Arc<AtomicUsize>,
}

impl RunContext {
    /// Returns the time since the start of the run.
    pub(crate) fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Sends a message to the collector.
    pub(crate) fn send_message(&self, message: RunMessage) {
        // This can't fail: the collector outlives all tasks.
        let _ = self.messages.send(message);
    }

    async fn run(&self, event: &TraceEvent) {
        self.open.fetch_add(1, Ordering::Relaxed);
        tokio::select! {
            () = self.run_kind(event) => {}
            () = self.stop.cancelled() => {}
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    async fn run_kind(&self, event: &TraceEvent) {
        let intended = event.at;
        match &event.kind {
            EventKind::Live(live) => {
                let call = run_live(self, live, intended).await;
                self.send_message(RunMessage::Call(call));
            }
            EventKind::Plain(plain) => {
                let call = run_plain(self, plain, intended).await;
                self.send_message(RunMessage::Call(call));
            }
            EventKind::Lot(lot) => {
                let lot = run_lot(self, lot, intended).await;
                self.send_message(RunMessage::Lot(lot));
            }
            EventKind::Fault(fault) => {
                let fault = run_fault(self, fault).await;
                self.send_message(RunMessage::Fault(fault));
            }
        }
    }
}

/// Plays a trace and waits until all of its calls and lots have ended.
///
/// Arrivals are open-loop: each event is sent at its time, regardless of how many
/// earlier requests are still in flight. Once `stop` is cancelled, nothing more is
/// sent, and requests in flight are dropped and not counted.
pub async fn play_trace(
    trace: TraceFile,
    targets: RunTargets,
    options: RunOptions,
    stop: CancellationToken,
) -> RunResult {
    let (messages, receiver) = mpsc::unbounded_channel();
    let sender = CallSender::new(targets.clone());
    let logs = EngineLogs::record_start(&sender).await;
    let label = options.label.clone();
    let quiet = options.quiet;
    let open = Arc::new(AtomicUsize::new(0));
    let start = Instant::now();
    let context = Arc::new(RunContext {
        sender,
        options,
        start,
        stop: stop.clone(),
        messages,
        open: open.clone(),
    });
    let run_collector = RunCollector {
        receiver,
        collector: OutcomeCollector::new(&trace.customers),
        progress: RunProgress::new(quiet),
        start,
        open,
    };
    // Sending runs in a separate task, so that aggregation never delays it.
    tokio::spawn(send_events(context, trace.events));
    // The last task drops the last context, which closes the channel and ends the
    // collection.
    let collector = run_collector.collect().await;
    let mut result = collector.result(&label, start.elapsed());
    result.interrupted = stop.is_cancelled();
    let sender = CallSender::new(targets);
    (result.engines, result.prompts_answered_twice) = logs.results(&sender).await;
    result
}

async fn send_events(context: Arc<RunContext>, events: Vec<TraceEvent>) {
    for event in events {
        tokio::select! {
            () = sleep_until(context.start + event.at) => {}
            () = context.stop.cancelled() => return,
        }
        let context = context.clone();
        tokio::spawn(async move { context.run(&event).await });
    }
}

/// Aggregates the messages of the tasks until the last task has ended.
struct RunCollector {
    receiver: mpsc::UnboundedReceiver<RunMessage>,
    collector: OutcomeCollector,
    progress: RunProgress,
    start: Instant,
    open: Arc<AtomicUsize>,
}

impl RunCollector {
    async fn collect(mut self) -> OutcomeCollector {
        let mut ticks = interval(Duration::from_secs(1));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                message = self.receiver.recv() => match message {
                    Some(message) => self.handle(message),
                    None => break,
                },
                _ = ticks.tick() => {
                    let open = self.open.load(Ordering::Relaxed);
                    self.progress.print(self.start.elapsed(), open);
                }
            }
        }
        self.progress.finish();
        self.collector
    }

    fn handle(&mut self, message: RunMessage) {
        match message {
            RunMessage::Call(call) => {
                self.progress.add_call(&call);
                self.collector.add_call(&call);
            }
            RunMessage::Lot(lot) => {
                self.progress.add_lot();
                self.collector.add_lot(lot);
            }
            RunMessage::Progress(progress) => {
                self.progress.add_items(progress.items);
                self.collector.add_progress(progress);
            }
            RunMessage::Fault(fault) => self.collector.add_fault(fault),
        }
    }
}
