//! Non-blocking logging: one JSON object per line on standard output.
//!
//! If the reader of the pipe stopped reading, a direct write would block the daemon's
//! only thread and with it all requests. Lines therefore go into a bounded queue that
//! a separate thread empties; lines that don't fit are dropped and counted.

use std::{
    io::Write as _,
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Duration,
};

use logforth::{
    Append, Diagnostic, Layout,
    layout::JsonLayout,
    record::{Level, LevelFilter, Record},
};

/// The capacity of the queue in lines of some hundred bytes each.
const MAX_QUEUED_LINES: usize = 2_048;
/// Lines are written in batches of whole lines up to this size. A pipe accepts this many
/// bytes atomically, so that lines of two processes on one pipe don't mix.
const MAX_BATCH_BYTES: usize = 4_096;
/// How long the writer collects lines before it writes them together, since each write
/// is a system call and wakes a thread.
const BATCH_DELAY: Duration = Duration::from_millis(100);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

#[derive(Debug)]
struct QueueAppend {
    layout: JsonLayout,
    queue: SyncSender<Vec<u8>>,
}

impl Append for QueueAppend {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        if self.queue.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

/// Starts logging of all records at least as severe as `level`. An unknown level counts
/// as `info`.
///
/// # Errors
///
/// Fails if the writer's thread can't be started.
pub fn start(level: &str) -> std::io::Result<()> {
    let level = match level {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        _ => Level::Info,
    };
    let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
    std::thread::Builder::new()
        .name("log-writer".to_owned())
        .spawn(move || write_lines(&lines))?;
    let append = QueueAppend {
        layout: JsonLayout::default(),
        queue,
    };
    logforth::starter_log::builder()
        .dispatch(|it| {
            it.filter(LevelFilter::MoreSevereEqual(level))
                .append(append)
        })
        .apply();
    Ok(())
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut reported = 0;
    while let Ok(first) = lines.recv() {
        std::thread::sleep(BATCH_DELAY);
        let mut text = first;
        for line in lines.try_iter() {
            if text.len() + line.len() > MAX_BATCH_BYTES {
                write_batch(&text);
                text.clear();
            }
            text.extend_from_slice(&line);
        }
        let dropped = dropped_lines();
        if dropped > reported {
            text.extend_from_slice(format_dropped_line(dropped).as_bytes());
            reported = dropped;
        }
        write_batch(&text);
    }
}

fn format_dropped_line(dropped: u64) -> String {
    let line = serde_json::json!({
        "level": "WARN", "message": "logs: lines were dropped", "kvs": {"dropped": dropped},
    });
    format!("{line}\n")
}

fn write_batch(text: &[u8]) {
    // If standard output is closed, there is nowhere to report the error.
    let _ = std::io::stdout().write_all(text);
}

/// Waits long enough for the writer to write all lines logged so far. Called before the
/// process exits.
pub fn drain() {
    std::thread::sleep(BATCH_DELAY * 2);
}
